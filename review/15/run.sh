#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
timeout -k 5 115 python3 case.py 2>/dev/null
case $? in
  10) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
