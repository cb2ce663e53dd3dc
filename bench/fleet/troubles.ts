/** Impairments of a fleet soak. Each ends by itself; the fleet is calm in between. */

import { Random } from '../../src/types/random';
import type { Fleet } from './fleet';
import type { Traffic } from './traffic';

/** An impairment. */
interface Trouble {
  readonly name: string;
  /** Starts it and returns how long it lasts. */
  start(context: TroubleContext): number;
}

interface TroubleContext {
  readonly fleet: Fleet;
  readonly traffic: Traffic;
  readonly random: Random;
}

const PAUSE_MS = 400;

/** The registry has dropped a target by then, and what it ran is over. */
const LOST_TARGET_MS = 6_000;

function pick<T>(random: Random, items: readonly T[], count: number): readonly T[] {
  const rest = [...items];
  return Array.from({ length: Math.min(count, items.length) }, () =>
    rest.splice(random.nextInt(rest.length), 1),
  ).flat();
}

function pickWorkers({ fleet, random }: TroubleContext, fraction: number) {
  const up = fleet.workers.filter(({ target }) => target.isUp);
  return pick(random, up, Math.max(1, Math.round(up.length * fraction)));
}

/** Repeats an action at an interval. */
function repeat(count: number, intervalMs: number, action: () => void): number {
  for (let index = 0; index < count; index += 1) setTimeout(action, index * intervalMs).unref();
  return count * intervalMs;
}

const TROUBLES: readonly Trouble[] = [
  {
    name: 'targets crash and come back',
    start(context) {
      const downMs = [20, 400, 2_500][context.random.nextInt(3)] ?? 20;
      pickWorkers(context, 0.12).forEach((worker) => context.fleet.crash(worker, downMs));
      return downMs;
    },
  },
  {
    name: 'targets crash in series',
    start(context) {
      return repeat(3, 1_000, () =>
        pickWorkers(context, 0.09).forEach((worker) => context.fleet.crash(worker, 200)),
      );
    },
  },
  {
    name: 'targets are lost for good',
    start(context) {
      pickWorkers(context, 0.04).forEach((worker) => context.fleet.crash(worker, undefined));
      return LOST_TARGET_MS;
    },
  },
  {
    name: 'nodes are stopped in turn',
    start({ fleet, random }) {
      const nodes = pick(random, fleet.nodes, 2);
      nodes.forEach((node, index) =>
        setTimeout(() => node.signal('SIGTERM'), index * 1_500).unref(),
      );
      return nodes.length * 1_500 + 1_000;
    },
  },
  {
    name: 'a node is killed',
    start({ fleet, random }) {
      pick(random, fleet.nodes, 1).forEach((node) => node.signal('SIGKILL'));
      return 1_500;
    },
  },
  {
    name: 'a node is suspended again and again',
    start({ fleet, random }) {
      const [node] = pick(random, fleet.nodes, 1);
      return repeat(6, 700, () => {
        node?.signal('SIGSTOP');
        setTimeout(() => node?.signal('SIGCONT'), PAUSE_MS).unref();
      });
    },
  },
  {
    name: 'connections to targets are half-open',
    start(context) {
      pickWorkers(context, 0.25).forEach((worker) => worker.deafen());
      return PAUSE_MS;
    },
  },
  {
    name: 'connections to the advice service are half-open',
    start({ fleet }) {
      fleet.advice.deafen();
      return PAUSE_MS;
    },
  },
  {
    name: 'connections to targets and to the advice service are reset',
    start(context) {
      pickWorkers(context, 0.5).forEach((worker) => worker.resetConnections());
      context.fleet.advice.resetConnections();
      return PAUSE_MS;
    },
  },
  {
    name: 'the store is slow while targets crash',
    start(context) {
      const { store } = context.fleet;
      store.delayMs = 120;
      pickWorkers(context, 0.09).forEach((worker) => context.fleet.crash(worker, 200));
      setTimeout(() => {
        store.delayMs = 0;
      }, 4_000).unref();
      return 4_000;
    },
  },
  {
    name: 'the advice service is slow',
    start({ fleet: { advice } }) {
      advice.slowness = 2;
      setTimeout(() => {
        advice.slowness = 1;
      }, 4_000).unref();
      return 4_000;
    },
  },
  {
    name: 'limits of teams change',
    start({ fleet, random }) {
      return repeat(3, 700, () => {
        const [team] = pick(random, fleet.teams, 1);
        if (team !== undefined) team.limitFraction = [0, 0.15, 0.3][random.nextInt(3)] ?? 0;
        fleet.changeConfig();
      });
    },
  },
];

/** Traffic that comes beside the impairments; it is no impairment itself. */
interface Burst {
  readonly name: string;
  start(context: TroubleContext): void;
}

const BURSTS: readonly Burst[] = [
  {
    name: 'batch submissions at once',
    start: ({ traffic }) => repeat(10, 300, () => traffic.submit('batch')),
  },
  {
    name: 'lasting submissions at once',
    start: ({ traffic }) => repeat(4, 300, () => traffic.submit('lasting')),
  },
  {
    name: 'a team submits far more than its rate',
    start({ fleet, traffic, random }) {
      const [team] = pick(random, fleet.teams, 1);
      repeat(50, 80, () => traffic.submit('urgent', team?.name));
      repeat(10, 400, () => traffic.submit('batch', team?.name));
      repeat(4, 1_000, () => traffic.submit('lasting', team?.name));
    },
  },
];

/** Draws and starts the impairments of one play. */
export class Troubles {
  #context: TroubleContext;

  #calmFromMs = 0;

  /**
   * @param seed - draws the impairments
   * @param fleet - the deployment
   * @param traffic - the callers
   */
  constructor(seed: number, fleet: Fleet, traffic: Traffic) {
    this.#context = { fleet, traffic, random: new Random(seed) };
  }

  /** Whether no impairment lasts. */
  isCalm(nowMs: number): boolean {
    return nowMs >= this.#calmFromMs;
  }

  /**
   * Starts one impairment, or two that overlap, at times beside bursts of traffic.
   * @param nowMs - the present time
   * @returns what was started
   */
  startNext(nowMs: number): readonly string[] {
    const { random } = this.#context;
    const chosen = pick(random, TROUBLES, 1 + random.nextInt(2));
    const durations = chosen.map((trouble) => trouble.start(this.#context));
    this.#calmFromMs = nowMs + Math.max(...durations);
    const bursts = pick(random, BURSTS, random.nextInt(3));
    bursts.forEach((burst) => burst.start(this.#context));
    return [...chosen, ...bursts].map(({ name }) => name);
  }
}
