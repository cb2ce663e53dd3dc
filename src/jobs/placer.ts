/** Places pending tasks on shards, and determines the commands due for placed tasks. */

import { getMovedTasks } from './evacuation';
import { tryGetAskKind } from './gang';
import type { AskKind } from './gang';
import { getPlacement, isEnded, createStart } from './job';
import type { KeptJob, KeptTask } from './job';
import type { DataCentreId, Epoch, QueueId, ShardId } from '../types/ids';
import type { ResourceVector } from '../types/resources';
import type { ShardRoom, TaskAsk, TaskPlacement } from './types';

/** Maximum number of tasks that one home places per tick; bounds the load after an outage. */
export const MAX_STARTS_PER_TICK = 64;
/** Maximum number of commands that one home repeats per tick. */
export const MAX_ASKS_PER_TICK = 256;
/** Interval at which a command is repeated until the owner replies. */
export const ASK_INTERVAL_MS = 1_000;

/** Urgency levels of queues, from the most to the least urgent. */
const URGENCY_ORDER = ['urgent', 'normal', 'background'] as const;

/** Urgency of the jobs in a queue. */
export type Urgency = (typeof URGENCY_ORDER)[number];

/** Free capacity of a shard in a data centre that is in service. */
export interface PlaceableRoom extends ShardRoom {
  readonly dataCentreId: DataCentreId;
}

/** The placer's view of the cluster at one point in time. */
export interface PlacementView {
  /** Shards that may take new tasks; empty while this process is stopping. */
  readonly rooms: readonly PlaceableRoom[];
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
  readonly job: KeptJob;
  readonly task: KeptTask;
  /** Sent once the placement is durable; undefined for a task of a gang. */
  readonly ask: TaskAsk | undefined;
}

/** The result of a placement round. */
export interface PlacementPlan {
  readonly placed: readonly PlacedTask[];
  /** Commands for earlier placements. */
  readonly asks: readonly TaskAsk[];
  /** Jobs whose phase may have changed. */
  readonly changed: readonly KeptJob[];
}

/** Tells which changes are durable in the journal. */
export interface DurabilitySource {
  /**
   * @param job - a job
   * @param task - a task of the job
   * @returns true if the task's last change is durable
   */
  isTaskDurable(job: KeptJob, task: KeptTask): boolean;
  /**
   * @param job - a gang
   * @returns true if the decision to start the gang is durable
   */
  isGangDurable(job: KeptJob): boolean;
}

/** A shard with the slots that are still free in this placement round. */
interface Room {
  readonly room: PlaceableRoom;
  freeSlots: number;
}

function getDeadlineMs(job: KeptJob): number {
  const { policy } = job.spec;
  return (policy.kind === 'batch' ? policy.deadlineMs : undefined) ?? Number.MAX_SAFE_INTEGER;
}

/** Orders jobs by urgency, then by deadline, then by submission. */
function compareJobs(view: PlacementView, left: KeptJob, right: KeptJob): number {
  const getRank = (job: KeptJob) => URGENCY_ORDER.indexOf(view.getUrgency(job.spec.queueId));
  return (
    getRank(left) - getRank(right) ||
    getDeadlineMs(left) - getDeadlineMs(right) ||
    left.submitNumber - right.submitNumber
  );
}

function createAsk(kind: AskKind, job: KeptJob, task: KeptTask, placement: TaskPlacement): TaskAsk {
  if (kind !== 'stop') return { kind, start: createStart(job, task, placement) };
  const isResumed = !isEnded(job.phase);
  return { kind, taskId: task.taskId, jobId: job.spec.jobId, placement, isResumed };
}

function isAskNeeded(
  job: KeptJob,
  task: KeptTask,
  placement: TaskPlacement,
  view: PlacementView,
  moved: ReadonlySet<KeptTask>,
): boolean {
  if (moved.has(task)) return true;
  if (isEnded(job.phase) || task.state.kind === 'assigned') return true;
  if (job.gangStep === 'releasing') return true;
  // After a change of owner, the new owner is queried for the task, which counts as running meanwhile.
  const epoch = view.getEpoch(placement.shardId);
  return epoch !== undefined && epoch !== task.confirmedEpoch;
}

function getAsks(
  nowMs: number,
  jobs: readonly KeptJob[],
  view: PlacementView,
  durability: DurabilitySource,
): readonly TaskAsk[] {
  const asks: TaskAsk[] = [];
  const moved = getMovedTasks(jobs, view);
  jobs.forEach((job) => {
    job.tasks.forEach((task) => {
      const placement = getPlacement(task);
      if (placement === undefined || nowMs < task.nextAskMs) return;
      if (asks.length >= MAX_ASKS_PER_TICK || !isAskNeeded(job, task, placement, view, moved))
        return;
      if (!durability.isTaskDurable(job, task)) return;
      const kind = moved.has(task)
        ? 'stop'
        : tryGetAskKind(job, task, durability.isGangDurable(job));
      if (kind === undefined) return;
      task.nextAskMs = nowMs + ASK_INTERVAL_MS;
      asks.push(createAsk(kind, job, task, placement));
    });
  });
  return asks;
}

/** Updates whether the job can be placed at all; returns true if this changed. */
function updatePlaceable(job: KeptJob, view: PlacementView): boolean {
  const { policy, demand } = job.spec;
  const taskCount = policy.kind === 'gang' ? policy.taskCount : 1;
  const isPlaceable = view.isPlaceable(demand, taskCount);
  if (isPlaceable === (job.phase !== 'unplaceable')) return false;
  job.phase = isPlaceable ? 'accepted' : 'unplaceable';
  job.note = isPlaceable ? '' : 'jobUnplaceable: no target could ever run this job';
  return true;
}

/** Deducts placements that are not confirmed yet, because the reported free slots do not include them. */
function reserveAssigned(jobs: readonly KeptJob[], rooms: readonly Room[]): void {
  const byShard = new Map(rooms.map((room) => [room.room.shardId, room]));
  jobs.forEach((job) => {
    job.tasks.forEach((task) => {
      if (task.state.kind !== 'assigned') return;
      const room = byShard.get(task.state.placement.shardId);
      if (room !== undefined) room.freeSlots -= job.spec.demand.slots;
    });
  });
}

function getSpreadCost(job: KeptJob, rooms: readonly Room[], { room }: Room): number {
  if (job.spec.policy.kind !== 'service') return 0;
  const sameDataCentre = new Set(
    rooms
      .filter((known) => known.room.dataCentreId === room.dataCentreId)
      .map((known) => known.room.shardId),
  );
  const shardIds = job.tasks.flatMap((task) => getPlacement(task)?.shardId ?? []);
  const dataCentreCount = shardIds.filter((shardId) => sameDataCentre.has(shardId)).length;
  const shardCount = shardIds.filter((shardId) => shardId === room.shardId).length;
  return dataCentreCount * (job.tasks.length + 1) + shardCount;
}

/**
 * Picks the shard with the most free slots, avoiding the shard that last refused the task if another
 * one fits. Services are spread over data centres first, then over shards.
 */
function pickRoom(job: KeptJob, task: KeptTask, rooms: readonly Room[]): Room | undefined {
  const fitting = rooms.filter((room) => room.freeSlots >= job.spec.demand.slots);
  const others = fitting.filter((room) => room.room.shardId !== task.refusedShardId);
  const candidates = others.length > 0 ? others : fitting;
  const getCost = (room: Room) => getSpreadCost(job, rooms, room);
  return [...candidates].sort(
    (left, right) => getCost(left) - getCost(right) || right.freeSlots - left.freeSlots,
  )[0];
}

function place(
  nowMs: number,
  job: KeptJob,
  task: KeptTask,
  { shardId, epoch }: ShardRoom,
): PlacedTask {
  task.attempt += 1;
  const placement: TaskPlacement = { attempt: task.attempt, shardId, epoch };
  task.state = { kind: 'assigned', placement };
  task.nextAskMs = nowMs + ASK_INTERVAL_MS;
  const isGang = job.spec.policy.kind === 'gang';
  // The commands for a gang are sent in the order of its shards.
  if (isGang) task.nextAskMs = nowMs;
  const start = createStart(job, task, placement);
  return { job, task, ask: isGang ? undefined : { kind: 'start', start } };
}

/** Picks a shard for each task and deducts its slots; returns fewer shards if some tasks do not fit. */
function pickRooms(
  job: KeptJob,
  tasks: readonly KeptTask[],
  rooms: readonly Room[],
): readonly Room[] {
  return tasks.flatMap((task) => {
    const room = pickRoom(job, task, rooms);
    if (room === undefined) return [];
    room.freeSlots -= job.spec.demand.slots;
    return [room];
  });
}

function placeJob(
  nowMs: number,
  job: KeptJob,
  view: PlacementView,
  rooms: readonly Room[],
  placed: PlacedTask[],
): void {
  const { demand, policy } = job.spec;
  const isGang = policy.kind === 'gang';
  if (placed.length >= MAX_STARTS_PER_TICK || (isGang && job.gangStep !== 'idle')) return;
  const large = rooms.filter((room) => view.isLargeEnough(room.room.shardId, demand));
  const pending = job.tasks.filter((task) => task.state.kind === 'pending');
  // A gang is placed as a whole, even if that exceeds the remaining starts of this tick.
  const tasks = isGang ? pending : pending.slice(0, MAX_STARTS_PER_TICK - placed.length);
  const taken = pickRooms(job, tasks, large);
  if (isGang && taken.length < tasks.length) {
    taken.forEach((room) => {
      room.freeSlots += demand.slots;
    });
    return;
  }
  taken.forEach((room, index) => {
    const task = tasks[index];
    if (task !== undefined) placed.push(place(nowMs, job, task, room.room));
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
export function createPlan(
  nowMs: number,
  jobs: readonly KeptJob[],
  view: PlacementView,
  durability: DurabilitySource,
): PlacementPlan {
  const asks = getAsks(nowMs, jobs, view, durability);
  const waiting = jobs
    .filter((job) => !isEnded(job.phase) && nowMs >= job.nextPlaceMs)
    .filter((job) => job.tasks.some((task) => task.state.kind === 'pending'));
  const changed = waiting.filter((job) => updatePlaceable(job, view));
  const rooms = view.rooms.map((room): Room => ({ room, freeSlots: room.freeSlots }));
  reserveAssigned(jobs, rooms);
  const placed: PlacedTask[] = [];
  waiting
    .filter((job) => job.phase !== 'unplaceable')
    .sort((left, right) => compareJobs(view, left, right))
    .forEach((job) => placeJob(nowMs, job, view, rooms, placed));
  return { placed, asks, changed };
}
