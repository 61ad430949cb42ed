// Texts drawn from a seed: words, code, scripts, emoji, marks, runs, digits, contractions, seams of white space.
// Only characters of Unicode 14 and before: engines of patterns and composing differ in what came later.
const late = [[0x85, 0x85], [0x88f, 0x88f], [0xc5c, 0xc5c], [0xcdc, 0xcdc], [0xcf3, 0xcf3], [0xece, 0xece], [0x1acf, 0x1aff],
  [0x1c89, 0x1c8a], [0x20c1, 0x20c1], [0x2427, 0x2429], [0x2b96, 0x2b96], [0x2ffc, 0x2fff]];

export function rng(seed) {
  let a = seed >>> 0;
  return () => {
    a = (a + 0x6d2b79f5) | 0;
    let t = Math.imul(a ^ (a >>> 15), 1 | a);
    t = (t + Math.imul(t ^ (t >>> 7), 61 | t)) ^ t;
    return ((t ^ (t >>> 14)) >>> 0) / 4294967296;
  };
}

const words = ('the of and to in is you that it he was for on are as with his they at be this have from or one had by ' +
  'word but not what all were we when your can said there use an each which she do how their if will up other about ' +
  'out many then them these so some her would make like him into time has look two more write go see number no way ' +
  'could people my than first water been call who oil its now find long down day did get come made may part ' +
  'internationalisation tokenization antidisestablishmentarianism HTTPServer camelCaseName snake_case_name XMLHttpRequest')
  .split(' ');
const pieces = [
  "'s", "'t", "'re", "'ve", "'m", "'ll", "'d", "'S", "'LL", "'ſ", "don't", "WE'RE", "I'm",
  '    ', '\t', '\n', '\r\n', '\n\n\n', ' \n ', '  \n\n  ', '\u00a0', '\u2003', '\u3000', '\u2028',
  '!', '?!', '...', '---', '==', '=>', '();', '{}', '[]', '/*', '*/', '//', '</div>', '#include', '\\n', '"', '`',
  '123', '4567', '3.14159', '1,000,000', '²', '½', '٣٤', '①',
  'naïve', 'Ångström', 'e\u0301', 'a\u0300\u0323', 'ñ', 'Ω', 'ſt', 'ﬀ', 'İstanbul', 'ß',
  '你好世界', '日本語テキスト', '한국어', 'ไทย', 'हिन्दी', 'العربية', 'עברית', 'Привет', 'ελληνικά', 'ქართული',
  '😀', '👩‍👩‍👧‍👦', '🏳️‍🌈', '🇫🇷', '👍🏽', '\u200d', '\ufe0f', '\u0301\u0302\u0303', '\u180e', '\u200b', '�',
  '<|endoftext|>', '<|fim_prefix|>', '<|begin_of_text|>', '<|im_start|>', '<|', '|>', '\0', '\x07', '\x7f',
];

// `plain`: words, code, scripts and emoji only, without runs (some packages take their square in time).
export function text(random, longest = 400, plain = false) {
  const pick = (list) => list[Math.floor(random() * list.length)];
  const target = Math.floor(random() ** 3 * longest) + 1;
  const kind = plain ? 1 : random();
  let out = '';
  if (kind < 0.1) {  // a run
    const unit = random() < 0.5 ? pick(pieces) : String.fromCodePoint(32 + Math.floor(random() * 95));
    while (out.length < target) out += unit;
    return random() < 0.5 ? out : out + pick(words);
  }
  if (kind < 0.2) {  // characters of everywhere
    while (out.length < target) {
      const c = Math.floor(random() ** 2 * 0x3000);
      out += String.fromCodePoint(late.some(([a, b]) => c >= a && c <= b) ? 32 : c);
    }
    return out;
  }
  if (kind < 0.3) {  // white space
    const space = [' ', ' ', ' ', '\n', '\r', '\t', '\u00a0', 'x', '.'];
    while (out.length < target) out += pick(space);
    return out;
  }
  while (out.length < target) {
    const r = random();
    if (r < 0.6) out += (random() < 0.9 ? ' ' : '') + pick(words);
    else if (r < 0.7) out += ' ' + Math.floor(random() * 1e6);
    else if (r < 0.9) out += pick(pieces);
    else out += pick(words).toUpperCase();
  }
  return out;
}
