/** Divides the turns of the event loop among connections. */

/** Connections that go on in one turn. */
const CONNECTIONS_PER_TURN = 10;

/** Connections that wait for a share of a later turn, first come first served. */
export interface TurnQueue {
  /** Adds a connection by what makes it go on. */
  add(resume: () => void): void;
}

/** Creates an empty queue. */
export function createTurnQueue(): TurnQueue {
  const waiting: (() => void)[] = [];
  const resumeSome = (): void => {
    waiting.splice(0, CONNECTIONS_PER_TURN).forEach(resume => resume());
    if (waiting.length > 0) {
      setImmediate(resumeSome);
    }
  };
  return {
    add: resume => {
      waiting.push(resume);
      if (waiting.length === 1) {
        setImmediate(resumeSome);
      }
    },
  };
}
