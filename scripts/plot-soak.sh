#!/usr/bin/env bash
# plot-soak.sh COURSE.tsv OUT.svg: memory over the prompts of a run of counting_soak (Debian: gnuplot-nox).
set -euo pipefail
gnuplot -e "set terminal svg size 800,360; set output '$2'; set xlabel 'prompts'; set ylabel 'MB'; set yrange [0:*];
  set key left bottom; plot '$1' using 1:(\$2/1e6) with lines title 'resident (process)',
  '$1' using 1:(\$3/1e6) with lines title 'cache and sessions (own account)'"
