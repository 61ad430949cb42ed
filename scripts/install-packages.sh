#!/usr/bin/env bash
# Installs the Debian packages that are missing for building and testing everything.
set -euo pipefail
missing=()
for package in cmake g++ ninja-build pkg-config libgtest-dev clang-format clang-tidy doxygen libpoco-dev libprotobuf-dev protobuf-compiler \
  nlohmann-json3-dev libspdlog-dev libcli11-dev libxxhash-dev libpcre2-dev libsentencepiece-dev sentencepiece libutf8proc-dev libssl-dev librapidcheck-dev libgrpc++-dev protobuf-compiler-grpc nghttp2-client curl; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
# Published tokenisers to compare with come from npm.
command -v node >/dev/null || missing+=(nodejs)
command -v npm >/dev/null || missing+=(npm)
if ((${#missing[@]})); then
  as_root=()
  [ "$(id -u)" = 0 ] || as_root=(sudo)
  "${as_root[@]}" apt-get update
  "${as_root[@]}" apt-get install -y --no-install-recommends "${missing[@]}"
fi
