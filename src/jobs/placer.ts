/** Places pending tasks on shards, and determines the commands due for placed tasks. */

import { selectTasksToEvacuate } from './evacuation';
import { tryGetCommandKind } from './gang';
import type { CommandKind } from './gang';
import { getPlacement, isTerminalPhase, createTaskStart } from './job';
import type { JobRecord, TaskRecord } from './job';
import type { DataCentreId, Epoch, QueueId, ShardId } from '../types/ids';
import type { ResourceVector } from '../types/resources';
import type { FreeShardCapacity, TaskCommand, TaskPlacement } from './types';

/** Maximum number of tasks that one home places per tick; bounds the load after an outage. */
export const MAX_STARTS_PER_TICK = 64;
/** Maximum number of commands that one home repeats per tick. */
export const MAX_COMMANDS_PER_TICK = 256;
/** Interval at which a command is repeated until the owner replies. */
export const COMMAND_RETRY_INTERVAL_MS = 1_000;

/** Urgency levels of queues, from the most to the least urgent. */
const URGENCY_ORDER = ['urgent', 'normal', 'background'] as const;

/** Urgency of the jobs in a queue. */
export type Urgency = (typeof URGENCY_ORDER)[number];

/** Free capacity of a shard in a data centre that is in service. */
export interface PlaceableShard extends FreeShardCapacity {
  readonly dataCentreId: DataCentreId;
}

/** The placer's view of the cluster at one point in time. */
export interface PlacementView {
  /** Shards that may take new tasks; empty while this process is stopping. */
  readonly shards: readonly PlaceableShard[];
  /** Number of schedulers that share the platform's write rate limit. */
  readonly writerCount: number;
  /**
   * @param queueId - a job's queue
   * @returns the queue's urgency
   */
  getUrgency(queueId: QueueId): Urgency;
  /**
   * @param shardId - a shard of targets
   * @returns true if its data centre was taken out of service
   */
  isOutOfService(shardId: ShardId): boolean;
  /**
   * @param shardId - a shard of targets
   * @returns the latest known epoch of the shard, or undefined if none is known
   */
  getEpoch(shardId: ShardId): Epoch | undefined;
  /**
   * @param shardId - a shard of targets
   * @param demand - the demand of one task
   * @returns true if the shard has a target that could hold the task when otherwise empty
   */
  isLargeEnough(shardId: ShardId, demand: ResourceVector): boolean;
  /**
   * @param demand - the demand of one task
   * @param taskCount - number of tasks that have to run concurrently
   * @returns false if even an empty cluster could not hold the tasks; true if it could or if this is not known
   */
  isPlaceable(demand: ResourceVector, taskCount: number): boolean;
}

/** A task placed in this round. */
export interface PlacedTask {
  readonly job: JobRecord;
  readonly task: TaskRecord;
  /** Sent once the placement is durable; undefined for a task of a gang. */
  readonly command: TaskCommand | undefined;
}

/** The result of a placement round. */
export interface PlacementPlan {
  readonly placed: readonly PlacedTask[];
  /** Commands for earlier placements. */
  readonly asks: readonly TaskCommand[];
  /** Jobs whose phase may have changed. */
  readonly changedJobs: readonly JobRecord[];
}

/** Tells which changes are durable in the journal. */
export interface DurabilitySource {
  /**
   * @param job - a job
   * @param task - a task of the job
   * @returns true if the task's last change is durable
   */
  isTaskDurable(job: JobRecord, task: TaskRecord): boolean;
  /**
   * @param job - a gang
   * @returns true if the decision to start the gang is durable
   */
  isGangDurable(job: JobRecord): boolean;
}

/** A shard with the slots that are still free in this placement round. */
interface CandidateShard {
  readonly room: PlaceableShard;
  freeSlots: number;
}

function getDeadlineMs(job: JobRecord): number {
  const { policy } = job.spec;
  return (policy.kind === 'batch' ? policy.deadlineMs : undefined) ?? Number.MAX_SAFE_INTEGER;
}

/** Orders jobs by urgency, then by deadline, then by submission. */
function compareJobs(view: PlacementView, left: JobRecord, right: JobRecord): number {
  const getRank = (job: JobRecord) => URGENCY_ORDER.indexOf(view.getUrgency(job.spec.queueId));
  return (
    getRank(left) - getRank(right) ||
    getDeadlineMs(left) - getDeadlineMs(right) ||
    left.submitNumber - right.submitNumber
  );
}

function createCommand(
  kind: CommandKind,
  job: JobRecord,
  task: TaskRecord,
  placement: TaskPlacement,
): TaskCommand {
  if (kind !== 'stop') return { kind, start: createTaskStart(job, task, placement) };
  const isResumed = !isTerminalPhase(job.phase);
  return { kind, taskId: task.taskId, jobId: job.spec.jobId, placement, isResumed };
}

function isCommandNeeded(
  job: JobRecord,
  task: TaskRecord,
  placement: TaskPlacement,
  view: PlacementView,
  evacuated: ReadonlySet<TaskRecord>,
): boolean {
  if (evacuated.has(task)) return true;
  if (isTerminalPhase(job.phase) || task.state.kind === 'assigned') return true;
  if (job.gangState === 'releasing') return true;
  // After a change of owner, the new owner is queried for the task, which counts as running meanwhile.
  const epoch = view.getEpoch(placement.shardId);
  return epoch !== undefined && epoch !== task.confirmedEpoch;
}

function createCommands(
  nowMs: number,
  jobs: readonly JobRecord[],
  view: PlacementView,
  durability: DurabilitySource,
): readonly TaskCommand[] {
  const commands: TaskCommand[] = [];
  const evacuated = selectTasksToEvacuate(jobs, view);
  jobs.forEach((job) => {
    job.tasks.forEach((task) => {
      const placement = getPlacement(task);
      if (placement === undefined || nowMs < task.nextCommandAtMs) return;
      if (
        commands.length >= MAX_COMMANDS_PER_TICK ||
        !isCommandNeeded(job, task, placement, view, evacuated)
      )
        return;
      if (!durability.isTaskDurable(job, task)) return;
      const kind = evacuated.has(task)
        ? 'stop'
        : tryGetCommandKind(job, task, durability.isGangDurable(job));
      if (kind === undefined) return;
      task.nextCommandAtMs = nowMs + COMMAND_RETRY_INTERVAL_MS;
      commands.push(createCommand(kind, job, task, placement));
    });
  });
  return commands;
}

/** Updates whether the job can be placed at all; returns true if this changed. */
function updatePlaceability(job: JobRecord, view: PlacementView): boolean {
  const { policy, demand } = job.spec;
  const taskCount = policy.kind === 'gang' ? policy.taskCount : 1;
  const isPlaceable = view.isPlaceable(demand, taskCount);
  if (isPlaceable === (job.phase !== 'unplaceable')) return false;
  job.phase = isPlaceable ? 'accepted' : 'unplaceable';
  job.note = isPlaceable ? '' : 'jobUnplaceable: no target could ever run this job';
  return true;
}

/** Deducts placements that are not confirmed yet, because the reported free slots do not include them. */
function deductAssigned(jobs: readonly JobRecord[], candidates: readonly CandidateShard[]): void {
  const byShard = new Map(candidates.map((candidate) => [candidate.room.shardId, candidate]));
  jobs.forEach((job) => {
    job.tasks.forEach((task) => {
      if (task.state.kind !== 'assigned') return;
      const candidate = byShard.get(task.state.placement.shardId);
      if (candidate !== undefined) candidate.freeSlots -= job.spec.demand.slots;
    });
  });
}

function getSpreadCost(
  job: JobRecord,
  candidates: readonly CandidateShard[],
  { room: shard }: CandidateShard,
): number {
  if (job.spec.policy.kind !== 'service') return 0;
  const shardIdsInDataCentre = new Set(
    candidates
      .filter((other) => other.room.dataCentreId === shard.dataCentreId)
      .map((other) => other.room.shardId),
  );
  const shardIds = job.tasks.flatMap((task) => getPlacement(task)?.shardId ?? []);
  const dataCentreCount = shardIds.filter((shardId) => shardIdsInDataCentre.has(shardId)).length;
  const shardCount = shardIds.filter((shardId) => shardId === shard.shardId).length;
  return dataCentreCount * (job.tasks.length + 1) + shardCount;
}

/**
 * Picks the shard with the most free slots, avoiding the shard that last refused the task if another
 * one fits. Services are spread over data centres first, then over shards.
 */
function pickShard(
  job: JobRecord,
  task: TaskRecord,
  candidates: readonly CandidateShard[],
): CandidateShard | undefined {
  const fitting = candidates.filter((candidate) => candidate.freeSlots >= job.spec.demand.slots);
  const notRefusing = fitting.filter((candidate) => candidate.room.shardId !== task.refusedShardId);
  const preferred = notRefusing.length > 0 ? notRefusing : fitting;
  const getCost = (candidate: CandidateShard) => getSpreadCost(job, candidates, candidate);
  return [...preferred].sort(
    (left, right) => getCost(left) - getCost(right) || right.freeSlots - left.freeSlots,
  )[0];
}

function placeTask(
  nowMs: number,
  job: JobRecord,
  task: TaskRecord,
  { shardId, epoch }: FreeShardCapacity,
): PlacedTask {
  task.attempt += 1;
  const placement: TaskPlacement = { attempt: task.attempt, shardId, epoch };
  task.state = { kind: 'assigned', placement };
  task.nextCommandAtMs = nowMs + COMMAND_RETRY_INTERVAL_MS;
  const isGang = job.spec.policy.kind === 'gang';
  // The commands for a gang are sent in the order of its shards.
  if (isGang) task.nextCommandAtMs = nowMs;
  const start = createTaskStart(job, task, placement);
  return { job, task, command: isGang ? undefined : { kind: 'start', start } };
}

/** Picks a shard for each task and deducts its slots; returns fewer shards if some tasks do not fit. */
function pickShards(
  job: JobRecord,
  tasks: readonly TaskRecord[],
  candidates: readonly CandidateShard[],
): readonly CandidateShard[] {
  return tasks.flatMap((task) => {
    const candidate = pickShard(job, task, candidates);
    if (candidate === undefined) return [];
    candidate.freeSlots -= job.spec.demand.slots;
    return [candidate];
  });
}

function placeJob(
  nowMs: number,
  job: JobRecord,
  view: PlacementView,
  candidates: readonly CandidateShard[],
  placed: PlacedTask[],
): void {
  const { demand, policy } = job.spec;
  const isGang = policy.kind === 'gang';
  if (placed.length >= MAX_STARTS_PER_TICK || (isGang && job.gangState !== 'idle')) return;
  const largeEnough = candidates.filter((candidate) =>
    view.isLargeEnough(candidate.room.shardId, demand),
  );
  const pending = job.tasks.filter((task) => task.state.kind === 'pending');
  // A gang is placed as a whole, even if that exceeds the remaining starts of this tick.
  const tasks = isGang ? pending : pending.slice(0, MAX_STARTS_PER_TICK - placed.length);
  const picked = pickShards(job, tasks, largeEnough);
  if (isGang && picked.length < tasks.length) {
    picked.forEach((candidate) => {
      candidate.freeSlots += demand.slots;
    });
    return;
  }
  picked.forEach((candidate, index) => {
    const task = tasks[index];
    if (task !== undefined) placed.push(placeTask(nowMs, job, task, candidate.room));
  });
}

/**
 * Places pending tasks where capacity is free, and creates the commands that are due for placed tasks.
 * @param nowMs - current time on this process's clock
 * @param jobs - the active jobs, changed in place
 * @param view - current view of the cluster
 * @param durability - tells which changes are durable
 * @returns the placed tasks, the commands, and the jobs whose phase may have changed
 */
export function createPlacementPlan(
  nowMs: number,
  jobs: readonly JobRecord[],
  view: PlacementView,
  durability: DurabilitySource,
): PlacementPlan {
  const commands = createCommands(nowMs, jobs, view, durability);
  const pendingJobs = jobs
    .filter((job) => !isTerminalPhase(job.phase) && nowMs >= job.nextPlacementAtMs)
    .filter((job) => job.tasks.some((task) => task.state.kind === 'pending'));
  const changedJobs = pendingJobs.filter((job) => updatePlaceability(job, view));
  const candidates = view.shards.map((shard): CandidateShard => ({
    room: shard,
    freeSlots: shard.freeSlots,
  }));
  deductAssigned(jobs, candidates);
  const placed: PlacedTask[] = [];
  pendingJobs
    .filter((job) => job.phase !== 'unplaceable')
    .sort((left, right) => compareJobs(view, left, right))
    .forEach((job) => placeJob(nowMs, job, view, candidates, placed));
  return { placed, asks: commands, changedJobs };
}
