/** Relates the nodes that log lines name to the daemons that write them. */
import {readText} from './logLine.js';
import type {LogLine} from './logLine.js';

/** Daemons by the names of their nodes. */
export type NodeNames = ReadonlyMap<string, string>;

/** Reads from the start of each daemon which node it is. */
export function readNodeNames(lines: readonly LogLine[]): NodeNames {
  return new Map(
    lines
      .filter(({event}) => event === 'daemonReady')
      .map(line => [readText(line, 'node') ?? line.daemon, line.daemon]),
  );
}

/** Finds the daemon of a node; the node itself if no line relates them. */
export function findDaemon(names: NodeNames, node: string): string {
  return names.get(node) ?? node;
}
