#!/bin/sh
# Prints addresses like a node and exits with code 7 on SIGTERM.
trap 'echo stopping; exit 7' TERM
echo '{"node":"n","control":"127.0.1.1:5001","peer":"127.0.1.1:5002","caller":"127.0.1.1:5003","admin":"127.0.1.1:5004","targets":"127.0.1.1:5005"}'
while :; do sleep 0.05; done
