#!/usr/bin/env bash
# sentencepiece.sh PROGRAM: trains small models with the official tools on this repository's pages, and compares ids
# with spm_encode's; then ends the helper process in the middle, and a file that is no model.
set -euo pipefail
cd "$(dirname "$0")/../.."
program=$(realpath "$1")
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cat docs/*.md README.md > "$work/text"
for type in unigram bpe; do
  spm_train --input="$work/text" --model_prefix="$work/$type" --vocab_size=800 --model_type=$type --byte_fallback=true \
    --minloglevel=3 > /dev/null 2>&1
  head -c 60000 "$work/text" | tr -d '\r' | grep . > "$work/lines"
  printf '日本語 😀 naïve\n   leading and   double  blanks\n<s> </s> <unk>\n' >> "$work/lines"
  node -e 'const fs = require("fs");
    for (const l of fs.readFileSync(process.argv[1], "utf8").split("\n").slice(0, -1)) console.log(JSON.stringify(l))' \
    "$work/lines" > "$work/lines.jsonl"
  spm_encode --model="$work/$type.model" --output_format=id < "$work/lines" | sed 's/ /,/g; s/^/[/; s/$/]/' > "$work/expected"
  "$program" tokens "$work/lines.jsonl" --lines --ids --vocabulary "$work/$type.model" > "$work/found" 2> /dev/null
  cmp "$work/expected" "$work/found"
  echo "$type: $(wc -l < "$work/found") texts alike"
done
if "$program" tokens "$work/lines" --vocabulary "$work/text" --format sentencepiece 2> "$work/error"; then
  echo "a text was taken for a model"
  exit 1
fi
grep -q "no SentencePiece model" "$work/error"
