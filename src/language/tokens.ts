/** Lexer of the operators' query language. Keywords are not reserved: they are also valid names. */
import { createToken, Lexer } from 'chevrotain';
import type { TokenType } from 'chevrotain';

/** A name: a letter or underscore, then letters, digits, underscores, dots, dashes, slashes or colons. */
export const Name = createToken({ name: 'Name', pattern: /[A-Za-z_][A-Za-z0-9_.:/-]*/ });
/** A string in single or double quotes, with backslash escapes. */
export const Text = createToken({ name: 'Text', pattern: /'(?:[^'\\]|\\.)*'|"(?:[^"\\]|\\.)*"/ });
/** A number with an optional suffix: k (10^3), M (10^6) or G (10^9). */
export const Quantity = createToken({
  name: 'Quantity',
  pattern: /-?\d+(?:\.\d+)?[kMG]?(?![A-Za-z0-9_.:/-])/,
});
/** A name that starts with a digit. */
export const DigitName = createToken({ name: 'DigitName', pattern: /\d[A-Za-z0-9_.:/-]*/ });
/** A comparison operator. */
export const Comparator = createToken({ name: 'Comparator', pattern: /<=|>=|!=|=|<|>/ });
/** `(` */
export const OpenParenthesis = createToken({ name: 'Open', pattern: /\(/ });
/** `)` */
export const CloseParenthesis = createToken({ name: 'Close', pattern: /\)/ });
/** `*` */
export const Star = createToken({ name: 'Star', pattern: /\*/ });
/** `,` */
export const Comma = createToken({ name: 'Comma', pattern: /,/ });
const Whitespace = createToken({ name: 'Blank', pattern: /\s+/, group: Lexer.SKIPPED });
const Semicolon = createToken({ name: 'End', pattern: /;/, group: Lexer.SKIPPED });

function keyword(word: string): TokenType {
  const name = word.charAt(0).toUpperCase() + word.slice(1);
  return createToken({ name, pattern: new RegExp(word, 'i'), longer_alt: Name, categories: Name });
}

/** Token types of the keywords, by keyword. */
export const KEYWORDS = {
  show: keyword('show'),
  where: keyword('where'),
  and: keyword('and'),
  like: keyword('like'),
  order: keyword('order'),
  group: keyword('group'),
  by: keyword('by'),
  asc: keyword('asc'),
  desc: keyword('desc'),
  limit: keyword('limit'),
  set: keyword('set'),
  create: keyword('create'),
  delete: keyword('delete'),
  service: keyword('service'),
  engine: keyword('engine'),
  key: keyword('key'),
  drain: keyword('drain'),
  resume: keyword('resume'),
  stop: keyword('stop'),
  program: keyword('program'),
  explain: keyword('explain'),
  call: keyword('call'),
  count: keyword('count'),
  sum: keyword('sum'),
  avg: keyword('avg'),
  max: keyword('max'),
  p95: keyword('p95'),
} as const;

/** Token types in the order in which the lexer tries them. */
export const ALL_TOKENS: TokenType[] = [
  Whitespace,
  Semicolon,
  ...Object.values(KEYWORDS),
  Quantity,
  DigitName,
  Name,
  Text,
  Comparator,
  OpenParenthesis,
  CloseParenthesis,
  Star,
  Comma,
];

/** Splits a statement into tokens. */
export const statementLexer = new Lexer(ALL_TOKENS);
