/** Grammar of the operators' query language. Syntax errors carry the offset of the offending character. */
import { EmbeddedActionsParser, EOF, tokenMatcher } from 'chevrotain';
import type { IToken, TokenType } from 'chevrotain';
import * as E from 'fp-ts/lib/Either.js';
import type { RowValue } from '../node/row-collector.js';
import type {
  Aggregate,
  Comparison,
  Condition,
  ObjectKind,
  Properties,
  ShowStatement,
  Statement,
} from './statement.js';
import { closestWord } from './suggest.js';
import {
  ALL_TOKENS,
  CloseParenthesis,
  Comma,
  Comparator,
  DigitName,
  KEYWORDS,
  Name,
  OpenParenthesis,
  Quantity,
  Star,
  statementLexer,
  Text,
} from './tokens.js';

/** Keywords that a statement may start with. */
export const STATEMENT_WORDS = [
  'show',
  'set',
  'create',
  'delete',
  'drain',
  'resume',
  'stop',
  'explain',
] as const;

/** A syntax error. */
export interface StatementError {
  readonly message: string;
  /** Offset of the offending character, from 0. */
  readonly offset: number;
}

const MULTIPLIERS: Readonly<Record<string, number>> = { k: 1e3, M: 1e6, G: 1e9 };

function parseQuantity(image: string): number {
  const unit = image.slice(-1);
  const multiplier = MULTIPLIERS[unit];
  return multiplier === undefined ? Number(image) : Number(image.slice(0, -1)) * multiplier;
}

function unquote(image: string): string {
  return image.slice(1, -1).replace(/\\(.)/g, '$1');
}

/** Text of a token; empty while chevrotain records the grammar, since alternatives have no token then. */
function imageOf(token: IToken | undefined): string {
  return token?.image ?? '';
}

function wordOf(token: IToken | undefined): string {
  return imageOf(token).toLowerCase();
}

class StatementParser extends EmbeddedActionsParser {
  constructor() {
    super(ALL_TOKENS, { recoveryEnabled: false });
    this.performSelfAnalysis();
  }

  readonly statement = this.RULE('statement', (): Statement =>
    this.OR<Statement>([
      { ALT: () => this.SUBRULE(this.show) },
      { ALT: () => this.SUBRULE(this.assign) },
      { ALT: () => this.SUBRULE(this.remove) },
      { ALT: () => this.SUBRULE(this.drain) },
      { ALT: () => this.SUBRULE(this.stop) },
      { ALT: () => this.SUBRULE(this.explain) },
    ]),
  );

  private readonly show = this.RULE('show', (): ShowStatement => {
    const conditions: Condition[] = [];
    const groupBy: string[] = [];
    const aggregates: Aggregate[] = [];
    let orderBy: ShowStatement['orderBy'];
    let limit: number | undefined;
    this.CONSUME(KEYWORDS.show);
    const table = this.CONSUME(Name).image.toLowerCase();
    this.MANY(() => {
      aggregates.push(this.SUBRULE(this.aggregate));
      this.OPTION1(() => this.CONSUME(Comma));
    });
    this.OPTION2(() => {
      this.CONSUME(KEYWORDS.where);
      this.AT_LEAST_ONE_SEP({
        SEP: KEYWORDS.and,
        DEF: () => conditions.push(this.SUBRULE(this.condition)),
      });
    });
    this.OPTION3(() => {
      this.CONSUME(KEYWORDS.group);
      this.CONSUME1(KEYWORDS.by);
      this.AT_LEAST_ONE_SEP1({
        SEP: Comma,
        DEF: () => groupBy.push(this.CONSUME2(Name).image),
      });
    });
    this.OPTION4(() => {
      this.CONSUME(KEYWORDS.order);
      this.CONSUME2(KEYWORDS.by);
      const column = this.CONSUME3(Name).image;
      const direction = this.OPTION5(() => this.SUBRULE(this.direction)) ?? 'asc';
      orderBy = { column, descending: direction === 'desc' };
    });
    this.OPTION6(() => {
      this.CONSUME(KEYWORDS.limit);
      limit = parseQuantity(this.CONSUME(Quantity).image);
    });
    return {
      type: 'show',
      table,
      conditions,
      groupBy,
      aggregates,
      ...(orderBy === undefined ? {} : { orderBy }),
      ...(limit === undefined ? {} : { limit }),
    };
  });

  private readonly direction = this.RULE('direction', (): string =>
    wordOf(
      this.OR<IToken>([
        { ALT: () => this.CONSUME(KEYWORDS.asc) },
        { ALT: () => this.CONSUME(KEYWORDS.desc) },
      ]),
    ),
  );

  private readonly aggregate = this.RULE('aggregate', (): Aggregate => {
    const name = wordOf(
      this.OR1<IToken>([
        { ALT: () => this.CONSUME(KEYWORDS.count) },
        { ALT: () => this.CONSUME(KEYWORDS.sum) },
        { ALT: () => this.CONSUME(KEYWORDS.avg) },
        { ALT: () => this.CONSUME(KEYWORDS.max) },
        { ALT: () => this.CONSUME(KEYWORDS.p95) },
      ]),
    );
    this.CONSUME(OpenParenthesis);
    const column = imageOf(
      this.OR2<IToken>([{ ALT: () => this.CONSUME(Star) }, { ALT: () => this.CONSUME(Name) }]),
    );
    this.CONSUME(CloseParenthesis);
    return { function: name as Aggregate['function'], column: column === '*' ? '' : column };
  });

  private readonly condition = this.RULE('condition', (): Condition => {
    const column = this.CONSUME(Name).image;
    const comparison = wordOf(
      this.OR<IToken>([
        { ALT: () => this.CONSUME(Comparator) },
        { ALT: () => this.CONSUME(KEYWORDS.like) },
      ]),
    ) as Comparison;
    const value = this.SUBRULE(this.value);
    return { column, comparison, value };
  });

  private readonly value = this.RULE('value', (): RowValue =>
    this.OR<RowValue>([
      { ALT: () => parseQuantity(this.CONSUME(Quantity).image) },
      { ALT: () => unquote(this.CONSUME(Text).image) },
      { ALT: () => this.CONSUME(DigitName).image },
      {
        ALT: () => {
          const { image } = this.CONSUME(Name);
          return image === 'true' ? true : image === 'false' ? false : image;
        },
      },
    ]),
  );

  private readonly name = this.RULE('name', (): string =>
    this.OR<string>([
      { ALT: () => this.CONSUME(Name).image },
      { ALT: () => this.CONSUME(DigitName).image },
      { ALT: () => this.CONSUME(Quantity).image },
      { ALT: () => unquote(this.CONSUME(Text).image) },
    ]),
  );

  private readonly kind = this.RULE(
    'kind',
    (): ObjectKind =>
      wordOf(
        this.OR<IToken>([
          { ALT: () => this.CONSUME(KEYWORDS.group) },
          { ALT: () => this.CONSUME(KEYWORDS.service) },
          { ALT: () => this.CONSUME(KEYWORDS.engine) },
          { ALT: () => this.CONSUME(KEYWORDS.key) },
        ]),
      ) as ObjectKind,
  );

  private readonly assign = this.RULE('assign', (): Statement => {
    const verb = wordOf(
      this.OR<IToken>([
        { ALT: () => this.CONSUME(KEYWORDS.set) },
        { ALT: () => this.CONSUME(KEYWORDS.create) },
      ]),
    ) as 'set' | 'create';
    const kind = this.SUBRULE(this.kind);
    const name = this.SUBRULE(this.name);
    const properties: Record<string, RowValue> = {};
    this.MANY(() => {
      const property = this.CONSUME(Name).image;
      this.OPTION(() => this.CONSUME(Comparator));
      const value = this.SUBRULE(this.value);
      properties[property] = value;
    });
    return { type: verb, kind, name, properties: properties as Properties };
  });

  private readonly remove = this.RULE('remove', (): Statement => {
    this.CONSUME(KEYWORDS.delete);
    const kind = this.SUBRULE(this.kind);
    const name = this.SUBRULE(this.name);
    return { type: 'delete', kind, name };
  });

  private readonly drain = this.RULE('drain', (): Statement => {
    const verb = wordOf(
      this.OR<IToken>([
        { ALT: () => this.CONSUME(KEYWORDS.drain) },
        { ALT: () => this.CONSUME(KEYWORDS.resume) },
      ]),
    ) as 'drain' | 'resume';
    this.CONSUME(KEYWORDS.engine);
    return { type: verb, name: this.SUBRULE(this.name) };
  });

  private readonly stop = this.RULE('stop', (): Statement => {
    this.CONSUME(KEYWORDS.stop);
    this.CONSUME(KEYWORDS.program);
    return { type: 'stop', program: this.SUBRULE(this.name) };
  });

  private readonly explain = this.RULE('explain', (): Statement => {
    this.CONSUME(KEYWORDS.explain);
    const subject = wordOf(
      this.OR<IToken>([
        { ALT: () => this.CONSUME(KEYWORDS.call) },
        { ALT: () => this.CONSUME(KEYWORDS.program) },
      ]),
    ) as 'call' | 'program';
    return { type: 'explain', subject, name: this.SUBRULE(this.name) };
  });
}

const parser = new StatementParser();

function describeToken(token: IToken): string {
  return tokenMatcher(token, EOF as TokenType) ? 'the end' : `"${token.image}"`;
}

function describeUnexpected(token: IToken, text: string): string {
  const place = describeToken(token);
  if (token.startOffset === 0 || text.trim() === '') {
    const suggestion = closestWord(token.image, STATEMENT_WORDS);
    const hint = suggestion === undefined ? '' : ` Did you mean "${suggestion}"?`;
    return `A statement starts with ${STATEMENT_WORDS.join(', ')}, not ${place}.${hint}`;
  }
  return `Unexpected ${place}; the statement is understood up to there.`;
}

/** Parses a statement. */
export function parseStatement(text: string): E.Either<StatementError, Statement> {
  const lexed = statementLexer.tokenize(text);
  const badCharacter = lexed.errors[0];
  if (badCharacter !== undefined) {
    const message = `Unexpected character "${text[badCharacter.offset] ?? ''}".`;
    return E.left({ message, offset: badCharacter.offset });
  }
  parser.input = lexed.tokens;
  const statement = parser.statement();
  const error = parser.errors[0];
  if (error === undefined) {
    return E.right(statement);
  }
  const { token } = error;
  const offset = Number.isFinite(token.startOffset) ? token.startOffset : text.trimEnd().length;
  return E.left({ message: describeUnexpected(token, text), offset });
}
