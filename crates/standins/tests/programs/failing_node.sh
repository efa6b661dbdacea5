#!/bin/sh
# A node that cannot start.
echo 'the port is taken' >&2
sleep 0.1
exit 3
