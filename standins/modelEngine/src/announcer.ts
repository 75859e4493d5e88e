import {request} from 'undici';

/** Longest wait for an entry to answer, in milliseconds. */
const ANNOUNCE_TIMEOUT_MS = 1_000;

/** What an endpoint says of itself. */
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

/** What the announcer needs. */
export interface AnnouncerOptions {
  /** Base URLs of entries, tried in turn. */
  readonly entries: readonly string[];
  readonly intervalMs: number;
  readonly readAnnouncement: () => Announcement;
}

/** Announces an endpoint to the entries at regular intervals. */
export interface Announcer {
  close(): void;
}

/** Starts announcing at once. */
export function createAnnouncer(options: AnnouncerOptions): Announcer {
  let turn = 0;
  let timer: NodeJS.Timeout | undefined;
  let isClosed = false;
  const announce = async (): Promise<void> => {
    const entry = options.entries[turn % options.entries.length]!;
    try {
      await sendAnnouncement(entry, options.readAnnouncement());
    } catch {
      turn += 1;
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

async function sendAnnouncement(
  entry: string,
  announcement: Announcement,
): Promise<void> {
  const reply = await request(`${entry}/v1/endpoints/announce`, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(announcement),
    headersTimeout: ANNOUNCE_TIMEOUT_MS,
  });
  await reply.body.dump();
}
