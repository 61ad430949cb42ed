// compare.mjs PROGRAM WORK COUNT [SEED]: ids of this program beside those of the published packages, on their own
// vocabularies; then both sides' speed on the same texts. Ends with 1 where a single text differs.
import { execFileSync } from 'node:child_process';
import { createRequire } from 'node:module';
import fs from 'node:fs';
import path from 'node:path';
import { pathToFileURL } from 'node:url';
import { rng, text } from './texts.mjs';

const [program, work, countText, seedText] = process.argv.slice(2);
const count = Number(countText);
const seed = Number(seedText ?? 1);
const require = createRequire(path.join(work, 'x.js'));
const load = async (name) => { const m = await import(pathToFileURL(require.resolve(name)));
  return m.default ?? m; };
const folder = (name) => path.join(work, 'node_modules', name);

const { Tiktoken } = require('tiktoken');
const jsTiktoken = require('js-tiktoken');
const { Tokenizer } = await load('@huggingface/tokenizers');
const random = rng(seed);
const texts = Array.from({ length: count }, () => text(random));
const big = Array.from({ length: 500 }, () => text(random, 4000, true));
const file = (name, content) => { const p = path.join(work, name); fs.writeFileSync(p, content); return p; };
const lines = (list) => list.map((t) => JSON.stringify(t)).join('\n') + '\n';
const textsFile = file('texts.jsonl', lines(texts));
const bigFile = file('big.jsonl', lines(big));
const octets = big.reduce((n, t) => n + Buffer.byteLength(t), 0);

function ours(input, args) {
  const started = execFileSync(program, ['tokens', input, '--lines', '--ids', ...args],
    { maxBuffer: 1 << 30, stdio: ['ignore', 'pipe', 'ignore'] });
  return started.toString().trim().split('\n').map((l) => JSON.parse(l));
}
function oursSpeed(args) {
  const out = execFileSync('sh', ['-c', '"$0" "$@" 2>&1 >/dev/null', program, 'tokens', bigFile, '--lines', '--repeat', '10', ...args]);
  return Number(/\(([\d.]+) MB\/s\)/.exec(out.toString())[1]);
}
function speed(encode) {
  for (const t of big.slice(0, 100)) encode(t);
  const start = process.hrtime.bigint();
  for (const t of big) encode(t);
  return octets / 1e6 / (Number(process.hrtime.bigint() - start) / 1e9);
}

let failed = false;
function check(name, args, reference, input = texts, inputFile = textsFile) {
  const found = ours(inputFile, args);
  let bad = 0;
  input.forEach((t, i) => {
    const expected = Array.from(reference(t));
    if (JSON.stringify(expected) === JSON.stringify(found[i])) return;
    if (++bad <= 3) console.log(`${name}: ${JSON.stringify(t).slice(0, 200)}\n  expected ${expected.slice(0, 40)}\n  found    ${found[i].slice(0, 40)}`);
  });
  console.log(`${name}: ${input.length - bad} of ${input.length} texts alike`);
  if (bad || found.length !== input.length) failed = true;
}

for (const name of ['cl100k_base', 'o200k_base', 'p50k_base']) {
  const data = JSON.parse(fs.readFileSync(path.join(folder('tiktoken'), 'encoders', name + '.json')));
  let ranks = '';
  for (const row of data.bpe_ranks.split('\n')) {
    const [, first, ...tokens] = row.split(' ');
    tokens.forEach((t, i) => { ranks += `${t} ${Number(first) + i}\n`; });
  }
  const args = ['--vocabulary', file(name + '.tiktoken', ranks), '--pattern', name];
  for (const [t, id] of Object.entries(data.special_tokens)) args.push('--special-token', `${t}=${id}`);
  const reference = new Tiktoken(data.bpe_ranks, data.special_tokens, data.pat_str);
  check(`${name} beside tiktoken, special tokens as text`, args, (t) => reference.encode_ordinary(t));
  check(`${name} beside tiktoken, special tokens meant`, [...args, '--special'], (t) => reference.encode(t, 'all'));
  if (name === 'p50k_base') continue;
  const js = jsTiktoken.getEncoding(name);
  const gpt = require(`gpt-tokenizer/cjs/encoding/${name}`);
  const mine = oursSpeed(args);
  const rows = { garnethook: mine, tiktoken: speed((t) => reference.encode_ordinary(t)), 'js-tiktoken': speed((t) => js.encode(t, [], [])),
                 'gpt-tokenizer': speed((t) => gpt.encode(t, { disallowedSpecial: new Set() })) };
  console.log(`${name} MB/s, one thread, ${(octets / 1e6).toFixed(1)} MB: ` +
    Object.entries(rows).map(([k, v]) => `${k} ${v.toFixed(2)}` + (k === 'garnethook' ? '' : ` (x${(mine / v).toFixed(1)})`)).join(', '));
}
for (const name of ['llama3', 'qwen2_5', 'gpt2']) {
  const models = path.join(folder('@lenml/tokenizer-' + name), 'models');
  const json = JSON.parse(fs.readFileSync(path.join(models, 'tokenizer.json')));
  const config = JSON.parse(fs.readFileSync(path.join(models, 'tokenizer_config.json')));
  const args = ['--vocabulary', path.join(models, 'tokenizer.json')];
  // This reference always takes special tokens' text as such.
  const reference = new Tokenizer(json, config);
  const some = Math.min(count, 4000);
  check(`${name}, tokenizer.json, beside @huggingface/tokenizers`, [...args, '--special'], (t) => reference.encode(t).ids,
    texts.slice(0, some), file('some.jsonl', lines(texts.slice(0, some))));
}
process.exit(failed ? 1 : 0);
