import {ANY_ORGANISATION} from '@gentianshunt/entryModel';
import {isIdentifier} from '@gentianshunt/identifiers';
import type {Identifier, OrganisationId} from '@gentianshunt/identifiers';

import {MalformedMessageError} from './wireErrors.js';

/** Longest text accepted in a message, in characters. */
const MAX_TEXT_LENGTH = 2_048;

/** Reads the items of a message one after the other and checks each. */
export interface WireReader {
  /** Items that have not been read. */
  readonly left: number;
  readNumber(): number;
  /** Reads a whole number from 0. */
  readCount(): number;
  readText(): string;
  readIdentifier<Id extends Identifier<string>>(): Id;
  /** Reads an organisation, or what stands for any. */
  readOrganisation(): OrganisationId;
  /** Reads a position in a table and returns what stands there. */
  readFrom<Item>(table: readonly Item[]): Item;
  readList(): WireReader;
}

/** Creates a reader; a malformed item makes it throw. */
export function createWireReader(items: unknown, peer: string): WireReader {
  if (!Array.isArray(items)) {
    throw new MalformedMessageError(peer, 'list');
  }
  const list: readonly unknown[] = items;
  let position = 0;
  const fail = (): never => {
    throw new MalformedMessageError(peer, `item ${position}`);
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
    get left() {
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
    readFrom: table => {
      const index = readCount();
      return index < table.length ? table[index]! : fail();
    },
    readList: () => createWireReader(readNext(), peer),
  };
}

/** Reads records until a list is used up. */
export function readAll<Item>(
  reader: WireReader,
  readItem: (reader: WireReader) => Item,
): readonly Item[] {
  const items: Item[] = [];
  while (reader.left > 0) {
    items.push(readItem(reader));
  }
  return items;
}
