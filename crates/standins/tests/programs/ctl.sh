#!/bin/sh
# Prints its arguments and fails with code 4.
echo "out $1 $2"
echo err >&2
exit 4
