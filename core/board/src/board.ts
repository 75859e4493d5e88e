import {assertNever} from '@gentianshunt/errors';

import {createStore} from './store.js';
import type {SectionStore} from './store.js';
import type {Sections, SectionView} from './section.js';
import type {SectionWrite} from './write.js';

/** Read-only views of all sections. */
export type BoardView<S extends Sections> = {
  readonly [Name in keyof S]: SectionView<S[Name]>;
};

/** One changed key of one section; a cell has the key `undefined`. */
export interface Change<S extends Sections> {
  readonly section: keyof S;
  readonly key: unknown;
}

/** Holds the state of a process; only committed writes change it. */
export interface Board<S extends Sections> {
  readonly view: BoardView<S>;
  /** Applies one write in place and returns what it changed. */
  commit(write: SectionWrite<S, keyof S>): Change<S>;
}

/** The sections of a new board. */
export interface BoardOptions<S extends Sections> {
  readonly sections: S;
}

/** Creates a board with every section at its initial value. */
export function createBoard<S extends Sections>(
  options: BoardOptions<S>,
): Board<S> {
  const stores = new Map<keyof S, SectionStore>();
  const view = {};
  for (const [name, section] of Object.entries(options.sections)) {
    const store = createStore(section);
    stores.set(name, store);
    Object.defineProperty(view, name, {
      enumerable: true,
      get: () => store.view(),
    });
  }
  return {
    view: view as BoardView<S>,
    commit: write => commitWrite(stores, write),
  };
}

interface UntypedWrite<S extends Sections> {
  readonly kind: 'set' | 'put' | 'delete';
  readonly section: keyof S;
  readonly key?: unknown;
  readonly value?: unknown;
}

function commitWrite<S extends Sections>(
  stores: ReadonlyMap<keyof S, SectionStore>,
  typedWrite: SectionWrite<S, keyof S>,
): Change<S> {
  const write = typedWrite as UntypedWrite<S>;
  const store = stores.get(write.section)!;
  switch (write.kind) {
    case 'set':
      store.set(write.value);
      break;
    case 'put':
      store.put(write.key, write.value);
      break;
    case 'delete':
      store.delete(write.key);
      break;
    default:
      assertNever(write.kind, 'commit');
  }
  return {section: write.section, key: write.key};
}
