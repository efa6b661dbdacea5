#!/bin/sh
# Runs for longer than the timeout of the test.
exec sleep 60
