#!/bin/sh
# Prints addresses like a node, then sleeps.
echo starting
echo '{"node":"n","control":"127.0.1.1:5001","peer":"127.0.1.1:5002","caller":"127.0.1.1:5003","admin":"127.0.1.1:5004","targets":"127.0.1.1:5005"}'
exec sleep 120
