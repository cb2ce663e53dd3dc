/** Entry point of `standin-platform HOST PORT`, which serves a fake platform over HTTP. */

import { setTimeout as sleep } from 'node:timers/promises';
import type { PlatformCall, Vm } from '../src/platform/types';
import { createJsonResponse, listenJson } from './httpServer';
import { PlatformStore } from './platformStore';
import type { PlatformFaults } from './platformStore';

const store = new PlatformStore();

async function handle(path: string, value: unknown) {
  switch (path) {
    case '/control/faults':
      store.setFaults(value as Partial<PlatformFaults>);
      return createJsonResponse({});
    case '/control/vms':
      store.setVms(value as readonly Vm[]);
      return createJsonResponse({});
    case '/control/counts':
      return createJsonResponse(store.counts);
    default: {
      const { delayMs } = store.faults;
      if (delayMs > 0) await sleep(delayMs);
      const result = store.perform(value as PlatformCall, Date.now());
      return createJsonResponse(result, result.kind === 'unavailable' ? 503 : 200);
    }
  }
}

const [host = '127.0.0.1', port = '7000'] = process.argv.slice(2);
listenJson(host, Number(port), handle).catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`);
  process.exitCode = 1;
});
