#!/usr/bin/env bash
# Moves to a new version, each with a change of the configuration beside it. TROUBLE=0: the changes alone.
cd "$(dirname "$0")"
exec python3 case.py
