/** Divides the memory of a process among those for whom it holds bytes. */

/** Bytes in the unit of the settings. */
export const BYTES_PER_MB = 1_024 * 1_024;
/** Program, runtime, board and the garbage between two collections. */
const RUNTIME_BYTES = 140 * BYTES_PER_MB;
/** Least memory to divide, so that a small process can work at all. */
const MIN_SHARED_BYTES = 16 * BYTES_PER_MB;
/** Fraction of the shared memory for callers' requests and answers. */
const CALLER_FRACTION = 0.5;
/** Fraction for messages that wait to be sent to other daemons. */
const PEER_FRACTION = 0.125;
/** Fraction for operators' documents. */
const DOCUMENT_FRACTION = 0.125;
/** Fraction for other management calls, as heartbeats. */
const MANAGEMENT_FRACTION = 0.0625;
/** Fraction for the control member: its log, proposals and snapshots. */
const CONTROL_FRACTION = 0.1875;
/** Memory with which the control member holds the largest configurations. */
const MAX_CONTROL_BYTES = 40 * BYTES_PER_MB;
/**
 * How often the control member holds a document: the state, the log and the
 * message to a follower, each with the objects and the source.
 */
const DOCUMENT_COPIES = 8;
/** Memory that one connection without a complete request may take. */
const CONNECTION_BYTES = 32 * 1_024;
/** Fraction of the whole memory for the connections of callers. */
const CONNECTION_FRACTION = 0.2;
/** Part of it for requests that wait behind another one of their connection. */
const AHEAD_FRACTION = 0.25;

/** The parts of the memory of a process, in bytes. */
export interface MemoryPlan {
  /** Bodies of callers' requests, and answers that callers do not read. */
  readonly callerBytes: number;
  /** Bodies of operators' documents. */
  readonly documentBytes: number;
  /** The control member's log, its proposals and snapshots on their way. */
  readonly controlBytes: number;
  /** Largest document of an operator that the control member can hold. */
  readonly maxDocumentBytes: number;
  /** Bodies of the other management calls. */
  readonly managementBytes: number;
  /** Messages that wait to be sent, over all links. */
  readonly peerLinkBytes: number;
  /** Requests that clients send before they have the answer to another. */
  readonly aheadBytes: number;
  /** Most open connections of callers. */
  readonly callerConnections: number;
}

/** Plans the parts of the memory that a process may use. */
export function planMemory(memoryBytes: number): MemoryPlan {
  const connectionBytes = memoryBytes * CONNECTION_FRACTION;
  const sharedBytes = Math.max(MIN_SHARED_BYTES, memoryBytes - RUNTIME_BYTES);
  const controlBytes = Math.floor(
    Math.min(MAX_CONTROL_BYTES, sharedBytes * CONTROL_FRACTION),
  );
  return {
    callerBytes: Math.floor(sharedBytes * CALLER_FRACTION),
    documentBytes: Math.floor(sharedBytes * DOCUMENT_FRACTION),
    managementBytes: Math.floor(sharedBytes * MANAGEMENT_FRACTION),
    aheadBytes: Math.floor(connectionBytes * AHEAD_FRACTION),
    controlBytes,
    maxDocumentBytes: Math.floor(controlBytes / DOCUMENT_COPIES),
    peerLinkBytes: Math.floor(sharedBytes * PEER_FRACTION),
    callerConnections: Math.floor(connectionBytes / CONNECTION_BYTES),
  };
}
