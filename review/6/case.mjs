/** A zone with most of the entry machines, the owner among them, is cut off from the others and from the store. */

import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { createId, runCase, sleep } from '../lib-2/deployment.mjs';
import { findTwice } from '../lib-2/rules.mjs';

const CUT_MS = 8_000;

/** Zone and processor of each worker; sizes differ as at the site. */
const WORKERS = [
  ['kijfhoek', 16_000],
  ['kijfhoek', 16_000],
  ['delft', 8_000],
  ['delft', 8_000],
];

const NODES = [
  { zone: 'kijfhoek' },
  { zone: 'kijfhoek' },
  { zone: 'kijfhoek' },
  { zone: 'delft', processorShare: 0.4 },
  { zone: 'delft', processorShare: 0.4 },
];

/** Cuts the zone off from all other machines, workers and the store, or heals the cut. */
function setZoneCut(deployment, zone, isCut) {
  const isInside = (machine) => machine.zone === zone;
  deployment.nodes.forEach((node) => {
    if (isInside(node)) node.door.setCut(isCut);
    deployment.nodes
      .filter((other) => isInside(other) !== isInside(node))
      .forEach((other) => node.peers.get(other.name).setCut(isCut));
    deployment.workers
      .filter((worker) => isInside(worker) !== isInside(node))
      .forEach((worker) => node.ways.get(worker.id).setCut(isCut));
  });
  deployment.workers.filter(isInside).forEach((cut) => {
    const worker = cut;
    worker.isCut = isCut;
  });
  deployment.record(isCut ? 'zone is cut off' : 'cut has ended', { zone });
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async (deployment, isTroubled) => {
    await deployment.startNodes(NODES);
    // The smaller workers are filled first, so that runs are on the other side of the cut.
    for (const [zone, cpu] of WORKERS) await deployment.startWorker({ zone, cpu });
    await deployment.waitFor('the owner is in the zone', 20_000, async () => {
      const owner = await deployment.findOwner();
      return owner?.zone === 'kijfhoek';
    });
    await sleep(3_000);
    const [front] = deployment.nodes;
    const ids = Array.from({ length: 3 }, createId);
    for (const id of ids) {
      const body = {
        spec: '{"lasts":true}',
        steps: [{ count: 2, cpu: 2_000, 'mem-mb': 1_024, 'est-ms': 1_000, 'long-running': true }],
      };
      const { status } = await deployment.ask(front, 'POST', `/watch/${id}`, body);
      if (status !== 200) throw new Error(`submission answered with ${status}`);
    }
    await deployment.waitFor('all tasks run', 10_000, async () => {
      const started = deployment.events.filter(({ event }) => event === 'started');
      return started.length === 6;
    });
    await sleep(2_000);
    if (isTroubled) setZoneCut(deployment, 'kijfhoek', true);
    await sleep(CUT_MS);
    const states = await Promise.all(deployment.nodes.map((node) => deployment.getState(node)));
    const owners = states.flatMap((state) => (state?.ownership.kind === 'owning' ? [state] : []));
    deployment.record('nodes that own the fleet', {
      owners: owners.map(({ nodeId, ownership }) => ({ nodeId, ownership })),
    });
    if (isTroubled) setZoneCut(deployment, 'kijfhoek', false);
    await sleep(4_000);
    deployment.recordLogs(['owner', 'ownership', 'stopped waiting', 'store lost', 'takeover']);
    return findTwice(deployment.events);
  },
  { isTranslated: true },
);
