#!/bin/sh
# Fails like a node that cannot start.
echo 'the port is taken' >&2
exit 3
