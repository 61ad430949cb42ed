#!/usr/bin/env bash
# Long fuzzing of all codecs, then of the tokeniser, with libFuzzer (Debian: clang-14, libclang-rt-14-dev). Argument: seconds, 60.
# Findings and the corpus stay in build-fuzz/. Prints executions and coverage.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-60}
CC=clang-14 CXX=clang++-14 cmake -S . -B build-fuzz -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  -DGARNETHOOK_BUILD_PROGRAM=ON -DGARNETHOOK_BUILD_FUZZERS=ON >/dev/null
cmake --build build-fuzz --target fuzz_codecs fuzz_tokenisers >/dev/null
mkdir -p build-fuzz/corpus
build-fuzz/fuzz_codecs -artifact_prefix=build-fuzz/ -max_total_time="$seconds" -max_len=4096 -print_final_stats=1 build-fuzz/corpus
mkdir -p build-fuzz/corpus-tokenisers
c++ -std=c++20 -O1 -DGARNETHOOK_FUZZ_STANDALONE -Isrc tests/fuzz/tokenisers.cpp src/tokeniser/*.cpp -lpcre2-8 -lutf8proc -lxxhash -lcrypto -o build-fuzz/seeds
build-fuzz/seeds --seeds build-fuzz/corpus-tokenisers
build-fuzz/fuzz_tokenisers -artifact_prefix=build-fuzz/ -max_total_time="$seconds" -max_len=8192 -print_final_stats=1 build-fuzz/corpus-tokenisers
