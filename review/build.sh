#!/usr/bin/env bash
# The stand-ins are Python scripts (standins.py, standard library only): there is nothing to build.
exit 0
