import {request} from 'undici';

/** Longest wait for an entry's response headers, in milliseconds. */
const ANNOUNCE_TIMEOUT_MS = 1_000;

/** The body of an announcement: the endpoint's address, state and load. */
export interface Announcement {
  readonly endpoint: string;
  readonly incarnation: string;
  readonly set: string;
  readonly domain: string;
  readonly url: string;
  readonly concurrency: number;
  readonly checksFencing?: boolean;
  readonly leaving: boolean;
  readonly load: {
    readonly running: number;
    readonly waiting: number;
    readonly ageMs: number;
  } | null;
}

/** Options of an announcer. */
export interface AnnouncerOptions {
  /** Base URLs of entries; after a failure the next one is tried. */
  readonly entries: readonly string[];
  readonly intervalMs: number;
  readonly readAnnouncement: () => Announcement;
}

/** Announces an endpoint to the entries at regular intervals. */
export interface Announcer {
  close(): void;
}

interface AnnounceReply {
  readonly announceTo?: string | null;
}

/**
 * Creates an announcer, which sends its first announcement at once. It sends
 * the next ones to the entry that the last reply named, if any.
 */
export function createAnnouncer(options: AnnouncerOptions): Announcer {
  let entryIndex = 0;
  let assignedEntry: string | null = null;
  let timer: NodeJS.Timeout | undefined;
  let isClosed = false;
  const announce = async (): Promise<void> => {
    const entry =
      assignedEntry ?? options.entries[entryIndex % options.entries.length]!;
    try {
      assignedEntry = await sendAnnouncement(entry, options.readAnnouncement());
    } catch {
      assignedEntry = null;
      entryIndex += 1;
    }
    if (!isClosed) {
      timer = setTimeout(() => void announce(), options.intervalMs);
    }
  };
  void announce();
  return {
    close: () => {
      isClosed = true;
      clearTimeout(timer);
    },
  };
}

/** Returns the URL that the reply names for the next announcement, if any. */
async function sendAnnouncement(
  entry: string,
  announcement: Announcement,
): Promise<string | null> {
  const reply = await request(`${entry}/v1/endpoints/announce`, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(announcement),
    headersTimeout: ANNOUNCE_TIMEOUT_MS,
  });
  const body = (await reply.body.json()) as AnnounceReply;
  return body.announceTo ?? null;
}
