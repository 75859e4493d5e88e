import {ANY_ORGANISATION} from '@gentianshunt/entryModel';
import {isIdentifier} from '@gentianshunt/identifiers';
import type {Identifier, OrganisationId} from '@gentianshunt/identifiers';

import {MalformedMessageError} from './wireErrors.js';

/** Longest text accepted in a message, in characters. */
const MAX_TEXT_LENGTH = 2_048;

/**
 * Reads the items of an encoded message in order and validates each one.
 * Every method throws a `MalformedMessageError` if the next item is invalid.
 */
export interface WireReader {
  /** Number of items not read yet. */
  readonly remaining: number;
  readNumber(): number;
  /** Reads a non-negative integer. */
  readCount(): number;
  readText(): string;
  readIdentifier<Id extends Identifier<string>>(): Id;
  /** Reads an organisation, which may be `ANY_ORGANISATION`. */
  readOrganisation(): OrganisationId;
  /** Reads an index into a table and returns the item at that index. */
  readReference<Item>(table: readonly Item[]): Item;
  /** Reads a nested array and returns a reader over its items. */
  readList(): WireReader;
}

/** Creates a reader; throws if `items` is not an array. */
export function createWireReader(items: unknown, peer: string): WireReader {
  if (!Array.isArray(items)) {
    throw new MalformedMessageError(peer, 'expected an array');
  }
  const list: readonly unknown[] = items;
  let position = 0;
  const fail = (): never => {
    throw new MalformedMessageError(
      peer,
      `item ${position} is missing or invalid`,
    );
  };
  const readNext = (): unknown => {
    position += 1;
    return position <= list.length ? list[position - 1] : fail();
  };
  const readNumber = (): number => {
    const value = readNext();
    return typeof value === 'number' && Number.isFinite(value) ? value : fail();
  };
  const readCount = (): number => {
    const value = readNumber();
    return Number.isSafeInteger(value) && value >= 0 ? value : fail();
  };
  const readText = (): string => {
    const value = readNext();
    return typeof value === 'string' && value.length <= MAX_TEXT_LENGTH
      ? value
      : fail();
  };
  return {
    get remaining() {
      return list.length - position;
    },
    readNumber,
    readCount,
    readText,
    readIdentifier: <Id extends Identifier<string>>() => {
      const text = readText();
      return isIdentifier(text) ? (text as Id) : fail();
    },
    readOrganisation: () => {
      const text = readText();
      return isIdentifier(text) || text === ANY_ORGANISATION
        ? (text as OrganisationId)
        : fail();
    },
    readReference: table => {
      const index = readCount();
      return index < table.length ? table[index]! : fail();
    },
    readList: () => createWireReader(readNext(), peer),
  };
}

/** Reads consecutive records up to the end of the list. */
export function readRecords<Item>(
  reader: WireReader,
  readItem: (reader: WireReader) => Item,
): readonly Item[] {
  const items: Item[] = [];
  while (reader.remaining > 0) {
    items.push(readItem(reader));
  }
  return items;
}
