#!/usr/bin/env bash
# Endless answers of instances. TROUBLE=0 runs the same without them.
cd "$(dirname "$0")"
exec python3 case.py
