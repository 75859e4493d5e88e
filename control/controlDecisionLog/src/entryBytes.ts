import type {LogEntry, SnapshotItem} from '@gentianshunt/messages';

/** The part of a snapshot that is measured. */
interface SnapshotContent {
  readonly items: readonly SnapshotItem[];
}

/**
 * Measures the bytes of the document that a log entry holds. All other content
 * is small and counts as nothing.
 */
export function measureEntryBytes({payload}: LogEntry): number {
  return payload.kind === 'replaceConfiguration'
    ? payload.replacement.source.length
    : 0;
}

/** Measures the bytes of the document that a snapshot holds. */
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
