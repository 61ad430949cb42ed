#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. See claim.txt.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
timeout -k 5 105 python3 -B case.py
case "$(tail -n 1 record.txt 2>/dev/null)" in
  *"verdict exit=0") exit 0 ;;
  *"verdict exit=1") exit 1 ;;
  *) exit 2 ;;
esac
