/** Callers of the fleet soak: they submit urgent, batch and lasting work, and retry as sound clients do. */

import { Agent, request } from 'node:http';
import type { RunPlan } from '../../standins/fakeTarget';
import type { Random } from '../../src/types/random';
import type { TaskDemand } from '../../src/work/types';
import { NO_DEMAND } from '../../src/work/types';
import type { Fleet, SoakTeam, TaskSource, WorkKind } from './fleet';

const MAX_ATTEMPTS = 6;
const RETRY_DELAY_MS = 250;
const TIMEOUT_MS = 3_000;
const SECOND_MS = 1_000;

/** Submissions a second at a load of 1. */
const RATES: Readonly<Record<WorkKind, number>> = { urgent: 8, batch: 0.6, lasting: 0.12 };

const MIN_CPU_MILLIS = 600;

interface SubmittedStep {
  readonly taskCount: number;
  readonly demand: TaskDemand;
  readonly workMs: number;
  readonly maxPerTarget: number;
  readonly after: readonly number[];
}

/** A submission and what became of it. */
export interface SoakSubmission {
  readonly id: string;
  readonly kind: WorkKind;
  readonly team: string;
  readonly steps: readonly SubmittedStep[];
  state: 'sent' | 'accepted' | 'rejected' | 'cancelled';
}

/** Draws from an exponential distribution. */
function drawExponential(random: Random, mean: number): number {
  return -Math.log(1 - random.nextFraction()) * mean;
}

function createStep(
  taskCount: number,
  cpuMillis: number,
  memoryMb: number,
  workMs: number,
  maxPerTarget: number,
  after: readonly number[],
): SubmittedStep {
  const cpu = Math.max(MIN_CPU_MILLIS, cpuMillis);
  const demand = { cpuMillis: cpu, memoryMb, accelerators: 0 };
  return { taskCount, demand, workMs, maxPerTarget, after };
}

/** Creates submissions, sends them, and knows their tasks. */
export class Traffic implements TaskSource {
  #random: Random;

  #getFleet: () => Fleet;

  #submissions = new Map<string, SoakSubmission>();

  #agent = new Agent({ keepAlive: true, maxSockets: 8 });

  #nextNode = 0;

  #isStopped = false;

  /** Factor of the rates by kind. */
  readonly load: Record<WorkKind, number> = { urgent: 1, batch: 1, lasting: 1 };

  /**
   * @param random - draws the submissions
   * @param getFleet - gets the fleet, once it has been created
   */
  constructor(random: Random, getFleet: () => Fleet) {
    this.#random = random;
    this.#getFleet = getFleet;
  }

  get submissions(): readonly SoakSubmission[] {
    return [...this.#submissions.values()];
  }

  getKind(submissionId: string): WorkKind | undefined {
    return this.#submissions.get(submissionId)?.kind;
  }

  getTeam(taskKey: string): string | undefined {
    return this.#submissions.get(taskKey.slice(0, taskKey.indexOf('.')))?.team;
  }

  getDemand(taskKey: string): TaskDemand {
    return this.#findStep(taskKey)?.demand ?? NO_DEMAND;
  }

  getPlan(taskKey: string): RunPlan {
    const [id = ''] = taskKey.split('.');
    const kind = this.getKind(id);
    if (kind === 'lasting') return { workMs: 200, how: 'lasting', isGang: false };
    const isFailing = this.#random.nextFraction() < (kind === 'urgent' ? 0.05 : 0.01);
    const workMs = this.#findStep(taskKey)?.workMs ?? 0;
    return { workMs, how: isFailing ? 'failed' : 'done', isGang: false };
  }

  #findStep(taskKey: string): SubmittedStep | undefined {
    const [id = '', , step = ''] = taskKey.split('.');
    return this.#submissions.get(id)?.steps[Number(step)];
  }

  /** Starts to send. */
  start(): void {
    const kinds: readonly WorkKind[] = ['urgent', 'batch', 'lasting'];
    kinds.forEach((kind) => this.#scheduleNext(kind));
  }

  /** Sends nothing more. */
  stop(): void {
    this.#isStopped = true;
    this.#agent.destroy();
  }

  #scheduleNext(kind: WorkKind): void {
    const rate = RATES[kind] * this.load[kind];
    setTimeout(
      () => {
        if (this.#isStopped) return;
        this.submit(kind);
        this.#scheduleNext(kind);
      },
      drawExponential(this.#random, SECOND_MS / rate),
    ).unref();
  }

  /** Submits work of a kind, of one team or of any. */
  submit(kind: WorkKind, teamName?: string): void {
    const { teams } = this.#getFleet();
    const id = [0, 1]
      .map(() =>
        Math.floor(this.#random.nextFraction() * 0xffffffff)
          .toString(16)
          .padStart(8, '0'),
      )
      .join('');
    const team = teamName ?? this.#drawTeam(teams);
    const steps = this.#createSteps(kind);
    const submission: SoakSubmission = { id, kind, team, steps, state: 'sent' };
    this.#submissions.set(id, submission);
    this.#send(submission, 'POST', 1).catch(() => undefined);
  }

  /** Cancels a submission; from the first attempt on it is not owed any more. */
  cancel(cancelled: SoakSubmission): void {
    Object.assign(cancelled, { state: 'cancelled' });
    this.#send(cancelled, 'DELETE', 1).catch(() => undefined);
  }

  #drawTeam(teams: readonly SoakTeam[]): string {
    const total = teams.reduce((sum, { weight }) => sum + weight, 0);
    let rest = this.#random.nextFraction() * total;
    const team = teams.find(({ weight }) => {
      rest -= weight;
      return rest < 0;
    });
    return team?.name ?? 'team-0';
  }

  #createSteps(kind: WorkKind): readonly SubmittedStep[] {
    const draw = (mean: number, max: number) =>
      Math.max(1, Math.min(max, Math.round(drawExponential(this.#random, mean))));
    switch (kind) {
      case 'urgent':
        return [createStep(draw(6, 20), draw(2_300, 6_900), 3_300, draw(800, 2_000), 0, [])];
      case 'batch':
        return Array.from({ length: draw(2, 4) }, (_, number) =>
          createStep(
            ...[draw(10, 30), draw(5_000, 15_000), 5_100, draw(5_000, 12_000), 0],
            number === 0 ? [] : [number - 1],
          ),
        );
      case 'lasting': {
        const maxPerTarget = this.#random.nextFraction() < 0.7 ? 1 : 0;
        const taskCount = Math.min(draw(8, 30), maxPerTarget === 0 ? 30 : 8);
        return [createStep(taskCount, draw(6_100, 12_000), 8_800, 200, maxPerTarget, [])];
      }
      default:
        throw new Error(`unexpected kind ${String(kind)}`);
    }
  }

  async #send(sent: SoakSubmission, method: 'POST' | 'DELETE', attempt: number): Promise<void> {
    const submission = sent;
    if (this.#isStopped) return;
    const status = await this.#call(submission, method);
    const isFinal = status !== 0 && status < 500 && status !== 429;
    if (isFinal && method === 'POST' && submission.state === 'sent')
      submission.state = status < 300 ? 'accepted' : 'rejected';
    if (isFinal || attempt >= MAX_ATTEMPTS) return;
    await new Promise((resolve) => {
      setTimeout(resolve, RETRY_DELAY_MS * attempt).unref();
    });
    await this.#send(submission, method, attempt + 1);
  }

  #call({ id, kind, team, steps }: SoakSubmission, method: 'POST' | 'DELETE'): Promise<number> {
    const { nodes } = this.#getFleet();
    this.#nextNode += 1;
    const port = nodes[this.#nextNode % nodes.length]?.frontPort ?? 0;
    const body = JSON.stringify({
      spec: kind,
      steps: steps.map(({ taskCount, demand, workMs, maxPerTarget, after }) => ({
        ...{ count: taskCount, cpu: demand.cpuMillis, 'mem-mb': demand.memoryMb, after },
        ...{ 'est-ms': workMs, 'anti-affinity': maxPerTarget, 'long-running': kind === 'lasting' },
      })),
    });
    return new Promise((resolve) => {
      const sent = request(
        {
          ...{ host: '127.0.0.1', port, method, path: `/${kind}/${id}`, agent: this.#agent },
          headers: {
            ...{ host: `${kind}.example`, authorization: `Bearer key-${team}` },
            'content-type': 'application/json',
          },
        },
        (response) => {
          response.resume();
          response.on('end', () => resolve(response.statusCode ?? 0));
          response.on('error', () => resolve(0));
        },
      );
      const timer = setTimeout(() => sent.destroy(), TIMEOUT_MS);
      sent.on('close', () => clearTimeout(timer));
      sent.on('error', () => resolve(0));
      sent.end(method === 'POST' ? body : '');
    });
  }
}
