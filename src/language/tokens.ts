/** Words of the operators' language. Keywords are not reserved: they may still be names. */
import { createToken, Lexer } from 'chevrotain';
import type { TokenType } from 'chevrotain';

/** A name: letters, digits, dots, dashes, slashes, colons. */
export const Name = createToken({ name: 'Name', pattern: /[A-Za-z_][A-Za-z0-9_.:/-]*/ });
/** A quoted text. */
export const Text = createToken({ name: 'Text', pattern: /'(?:[^'\\]|\\.)*'|"(?:[^"\\]|\\.)*"/ });
/** A number, with k, M or G for thousands, millions and milliards. */
export const Quantity = createToken({
  name: 'Quantity',
  pattern: /-?\d+(?:\.\d+)?[kMG]?(?![A-Za-z0-9_.:/-])/,
});
/** A name that starts with a digit. */
export const DigitName = createToken({ name: 'DigitName', pattern: /\d[A-Za-z0-9_.:/-]*/ });
/** How two values are compared. */
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

/** Keywords by their word. */
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

/** Every token, in the order in which they are tried. */
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

/** Cuts a statement into tokens. */
export const statementLexer = new Lexer(ALL_TOKENS);
