import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';
import type {
  EndpointSetId,
  NodeId,
  RequestId,
  SoftwareVersion,
} from '@gentianshunt/identifiers';
import type {EntryDirectory} from '@gentianshunt/messages';

/** What began a stream, so that another endpoint may go on with it. */
export interface StreamOrigin {
  /** The software of the endpoint; `null` if that names none. */
  readonly software: SoftwareVersion | null;
}

/** The software of an endpoint; `null` if that names none. */
export type NamedSoftware = StreamOrigin['software'];

/** The origin of a stream, as an entry remembers it. */
export interface RecordedOrigin extends StreamOrigin {
  readonly set: EndpointSetId;
  readonly recordedAt: MonotonicTime;
  readonly report: OriginReport;
}

/** How far the entries that keep an origin for the others know of it. */
export type OriginReport =
  /** They are told once the set may have had several versions. */
  | {readonly kind: 'due'}
  /** The caller gets no event of the stream before enough of them keep it. */
  | {
      readonly kind: 'awaited';
      readonly request: RequestId;
      readonly keptBy: readonly NodeId[];
    }
  | {readonly kind: 'sent'; readonly to: readonly NodeId[]}
  /** This entry keeps it for another. */
  | {readonly kind: 'received'};

/** The origin of a stream, as entries tell each other. */
export interface ReportedOrigin extends StreamOrigin {
  /** The attempt that brought the first event. */
  readonly attempt: RequestId;
  readonly set: EndpointSetId;
}

/** What an entry has seen of the software of a set. */
export interface SeenSoftware {
  /** Since when nothing has escaped it; `null` before the first list. */
  readonly since: MonotonicTime | null;
  /** When it was out of step, so that something may have; `null` if never. */
  readonly doubtedAt: MonotonicTime | null;
  /** What the endpoints run that the leader of the set listed last. */
  readonly listed: readonly NamedSoftware[];
  /** When other software was seen last. */
  readonly past: ReadonlyMap<NamedSoftware, MonotonicTime>;
  /** What it surely was the only software of until a time, if there was any. */
  readonly sole: PastSoftware | null;
  /** What other entries have seen, which this one has asked. */
  readonly handover: HistoryHandover;
}

/** The question of an entry that has started, and the answers to it. */
export interface HistoryHandover {
  /** When the other entries were asked last; `null` before that. */
  readonly askedAt: MonotonicTime | null;
  /** How often they were asked. */
  readonly rounds: number;
  /** By the entry that answered; `null` if that has not seen enough itself. */
  readonly answers: ReadonlyMap<NodeId, SoftwareHistory | null>;
}

/** The software of a set that an entry has seen while streams live. */
export interface SoftwareHistory {
  /** Since when nothing has escaped the entry. */
  readonly since: MonotonicTime;
  readonly software: readonly PastSoftware[];
  readonly sole: PastSoftware | null;
  /** Whether the entry was out of step since. */
  readonly isDoubted: boolean;
}

/** Software of a set, and when it was seen last. */
export interface PastSoftware {
  readonly software: NamedSoftware;
  readonly seenAt: MonotonicTime;
}

/** A history as entries tell each other; clocks of two VMs differ. */
export interface ReportedHistory {
  readonly ageMs: Milliseconds;
  readonly software: readonly ReportedSoftware[];
  /** Until when the set had a single software; `null` if it had not of late. */
  readonly sole: ReportedSoftware | null;
  /** Whether the sender was out of step, and has not asked others since. */
  readonly isDoubted: boolean;
}

/** Software of a set, and the time since it was seen last. */
export interface ReportedSoftware {
  readonly software: NamedSoftware;
  readonly ageMs: Milliseconds;
}

/** What an entry knows of the streams of a set that were not reported. */
export type UnreportedStreams =
  /** Something may have escaped it. */
  | {readonly kind: 'unsure'}
  /** There are none that may be taken up. */
  | {readonly kind: 'none'}
  | {readonly kind: 'begun'; readonly software: NamedSoftware};

/** What an entry without a record of a stream knows of what began it. */
export interface OriginVote {
  /** The software of the set that it saw while streams live. */
  readonly seen: readonly NamedSoftware[];
  readonly unreported: UnreportedStreams;
  /** Whether it would have a record if the stream had been reported. */
  readonly isKeeper: boolean;
  /** Whether nothing has escaped it while such streams live. */
  readonly isComplete: boolean;
}

/** Which entries may keep the origins of streams. */
export interface OriginHolders {
  /** Since when this entry keeps all origins that it is told. */
  readonly keptSince: MonotonicTime;
  readonly directory: EntryDirectory;
  /** Entries that the directory listed before, and until when. */
  readonly departed: ReadonlyMap<NodeId, MonotonicTime>;
}

/** What an entry has found out of the origin of a stream. */
export type OriginOutcome =
  | {readonly kind: 'open'}
  | {readonly kind: 'found'; readonly origin: StreamOrigin}
  | {readonly kind: 'unknown'};

/** What an entry finds out for a request that takes up a stream. */
export interface OriginInquiry {
  /** The attempt that brought the first event; `null` if not named. */
  readonly attempt: RequestId | null;
  readonly set: EndpointSetId;
  readonly startedAt: MonotonicTime;
  /** The entries that have not answered. */
  readonly unanswered: readonly NodeId[];
  /** What the others know, and this entry itself. */
  readonly votes: ReadonlyMap<NodeId, OriginVote>;
  /** Entries of which some have a record if the stream was reported. */
  readonly holders: number;
  readonly outcome: OriginOutcome;
}
