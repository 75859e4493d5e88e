/** A position in the text; line and column count from 1. */
export interface TextPosition {
  readonly line: number;
  readonly column: number;
}

/** A literal value. */
export type Value =
  | {readonly kind: 'number'; readonly number: number}
  | {readonly kind: 'word'; readonly word: string}
  /** A quoted text, which may hold characters that a word may not. */
  | {readonly kind: 'text'; readonly text: string};

/** A comparison operator. */
export type Comparison = '=' | '!=' | '<' | '<=' | '>' | '>=';

/** The condition of a `where` clause. */
export type Condition =
  | {
      readonly kind: 'compare';
      readonly column: string;
      readonly comparison: Comparison;
      readonly value: Value;
      readonly position: TextPosition;
    }
  | {
      readonly kind: 'in';
      readonly column: string;
      readonly values: readonly Value[];
      readonly position: TextPosition;
    }
  | {readonly kind: 'not'; readonly condition: Condition}
  | {
      readonly kind: 'and' | 'or';
      readonly left: Condition;
      readonly right: Condition;
    };

/** An `order by` clause. */
export interface Ordering {
  readonly column: string;
  readonly direction: 'asc' | 'desc';
  readonly position: TextPosition;
}

/** A query on one table. */
export interface ShowStatement {
  readonly kind: 'show';
  readonly table: string;
  readonly where: Condition | null;
  readonly orderBy: Ordering | null;
  readonly limit: number | null;
  readonly position: TextPosition;
}

/** An assignment of values to a field of an object. */
export interface Setting {
  readonly field: string;
  readonly values: readonly Value[];
  readonly position: TextPosition;
}

/** A command that changes one configuration object. */
export interface ChangeStatement {
  readonly kind:
    'create' | 'set' | 'delete' | 'drain' | 'undrain' | 'hold' | 'lift';
  /** Type of the object, such as `tier`. */
  readonly type: string;
  readonly id: string;
  readonly settings: readonly Setting[];
  /** Revision that the object must have for the change; `null` for any. */
  readonly revision: number | null;
  readonly position: TextPosition;
}

/** A command that orders an endpoint to load a model or change its role. */
export interface EndpointStatement {
  readonly kind: 'load' | 'changeRole';
  readonly endpoint: string;
  readonly settings: readonly Setting[];
  readonly position: TextPosition;
}

/** A statement that changes something, unlike a query or `help`. */
export type CommandStatement = ChangeStatement | EndpointStatement;

/** A request for help on a topic, or on the whole language if `null`. */
export interface HelpStatement {
  readonly kind: 'help';
  readonly topic: string | null;
  readonly position: TextPosition;
}

/** Any statement of the language. */
export type Statement = ShowStatement | HelpStatement | CommandStatement;
