import {createManualClock} from '@gentianshunt/clock';
import type {MemoryUse} from '@gentianshunt/logging';
import t from 'tap';

import {createMemoryMonitor, MEMORY_SAMPLE_INTERVAL_MS} from '../src/index.js';

const SAMPLES = 3;
const BUFFERED = {requestBodyBytes: 4, answerBytes: 3, peerLinkBytes: 2};

async function countReports(residentBytes: number): Promise<MemoryUse[]> {
  const reports: MemoryUse[] = [];
  const monitor = createMemoryMonitor({
    clock: createManualClock(),
    limitBytes: 100,
    readBufferedBytes: () => BUFFERED,
    readProcessMemory: () => ({rss: residentBytes, heapUsed: 20, external: 9}),
    onHigh: use => reports.push(use),
  });
  const waitMs = SAMPLES * MEMORY_SAMPLE_INTERVAL_MS;
  await new Promise(resolve => setTimeout(resolve, waitMs));
  monitor.close();
  return reports;
}

t.test('high memory is reported once per interval', async t => {
  const reports = await countReports(80);
  t.equal(reports.length, 1);
  t.match(reports[0]!, {limitBytes: 100, residentBytes: 80, ...BUFFERED});
});

t.test('low memory is not reported', async t => {
  t.same(await countReports(79), []);
});
