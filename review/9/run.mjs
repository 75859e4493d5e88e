// A key is taken away from a connected client. Later than the bound, requests
// with that key must not run, on whatever route.
import http from 'node:http';

import {
  call,
  delay,
  drawId,
  putConfig,
  waitReady,
} from '../lib-2/deployment.mjs';
import {isTroubled, runCase} from '../lib-2/runCase.mjs';
import {answerWhole, startWorker} from '../lib-2/worker.mjs';

/** The bound of the settings. */
const REVOKE_MS = 5_000;
const REQUESTS = 12;
const KEY = 'key-of-the-client';

function createRoute(name, prefix, isAnonymous) {
  return {
    name,
    host: 'h.example',
    path_prefix: prefix,
    kind: 'safe',
    timeout_ms: 2_000,
    target_latency_ms: 200,
    priority: 0,
    service: 'app',
    max_attempts: 1,
    allow_anonymous: isAnonymous,
    sticky_sessions: false,
    resumable: false,
    gap_aim_ms: 400,
  };
}

function createConfig(version, keys) {
  return {
    version,
    routes: [
      createRoute('r-closed', '/closed/', false),
      createRoute('r-open', '/open/', true),
    ],
    services: [
      {
        name: 'app',
        health_path: '/health',
        max_connections: 130,
        protocol: 'h1',
        tls: false,
      },
    ],
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 4194304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
    tenants: [
      {
        name: 't-1',
        api_keys: keys,
        priority: 1,
        unit: 'token_count',
        plain_tokens: 200,
        rate_per_s: 0,
        burst: 0,
      },
    ],
  };
}

await runCase(
  import.meta.url,
  {machines: 3},
  async ({record, deployment, closing}) => {
    deployment.startAll();
    const {nodes, ports} = deployment;
    if (
      (
        await putConfig(deployment, createConfig(1, [KEY, 'another-key']), {
          record,
        })
      )?.status !== 200
    ) {
      return 2;
    }
    const ran = new Map();
    closing.push(
      await startWorker({
        deployment,
        record,
        id: 'i-1',
        service: 'app',
        answer: run => {
          ran.set(run.attempt, run);
          answerWhole(run, 'done');
        },
      }),
    );
    if (!(await waitReady(deployment))) {
      return 2;
    }
    await delay(2_000);
    const agents = nodes.map(
      () => new http.Agent({keepAlive: true, maxSockets: 1}),
    );
    const send = async (path, index) => {
      const id = drawId();
      const headers = {
        host: 'h.example',
        'x-gentianshunt-attempt-id': id,
        'x-gentianshunt-deadline-ms': '2000',
        authorization: `Bearer ${KEY}`,
      };
      const node = nodes[index % nodes.length];
      const {status} = await call({
        host: node.host,
        port: ports.front,
        path,
        headers,
        agent: agents[index % nodes.length],
      });
      const run = ran.get(id);
      const tenant = run?.headers['x-gentianshunt-tenant'] ?? 'none';
      record.add(
        `${id} with the key on ${path} at ${node.name}: ${status}, ${run === undefined ? 'not run' : `run for tenant ${tenant}`}`,
      );
      return run !== undefined;
    };
    // The client is connected, and its key is sound.
    for (let index = 0; index < 6; index += 1) {
      if (!(await send(index % 2 === 0 ? '/open/a' : '/closed/a', index))) {
        return 2;
      }
    }
    if (isTroubled) {
      if (
        (
          await putConfig(deployment, createConfig(2, ['another-key']), {
            record,
          })
        )?.status !== 200
      ) {
        return 2;
      }
      record.add(`version 2, without the key, is acknowledged`);
    }
    await delay(REVOKE_MS + 500);
    let late = 0;
    for (let index = 0; index < REQUESTS; index += 1) {
      late += (await send(index % 2 === 0 ? '/open/b' : '/closed/b', index))
        ? 1
        : 0;
    }
    agents.forEach(agent => agent.destroy());
    record.add(
      `${late} of ${REQUESTS} requests with the key run ${REVOKE_MS} ms after ${isTroubled ? 'it was taken away' : 'nothing'}`,
    );
    return isTroubled && late > 0 ? 1 : 0;
  },
);
