#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
# run. TROUBLE=0 leaves out the disruption. Writes record.txt beside it.
cd "$(dirname "$0")" && exec timeout -k 5 115 python3 -B case.py
