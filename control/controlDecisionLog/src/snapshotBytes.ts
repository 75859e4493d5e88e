import type {SnapshotItem} from '@gentianshunt/messages';

/** The part of a snapshot that is measured. */
interface SnapshotContent {
  readonly items: readonly SnapshotItem[];
}

/**
 * Measures the bytes of the document that a snapshot holds; to measure all its
 * items would take as long as to capture them.
 */
export function measureSnapshotBytes({items}: SnapshotContent): number {
  const source = items.find(
    ({kind, section}) => kind === 'set' && section === 'source',
  );
  return measureDocument(source?.value);
}

function measureDocument(source: unknown): number {
  const document = (source as {readonly document?: unknown} | undefined)
    ?.document;
  return document instanceof Uint8Array ? document.length : 0;
}
