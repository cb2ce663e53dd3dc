/** Decides where pending tasks go, and which owners must be asked about placed ones. */

import { tryGetAskKind } from './gang';
import type { AskKind } from './gang';
import { getPlacement, isEnded, createStart } from './job';
import type { KeptJob, KeptTask } from './job';
import type { DataCentreId, Epoch, QueueId, ShardId } from '../types/ids';
import type { ResourceVector } from '../types/resources';
import type { ShardRoom, TaskAsk, TaskPlacement } from './types';

/** Starts that one home decides in one tick; bounds the load after an outage or a return. */
export const MAX_STARTS_PER_TICK = 64;
/** Owners are asked again about this many tasks in one tick at most. */
export const MAX_ASKS_PER_TICK = 256;
/** An owner that has not answered is asked again after this. */
export const ASK_INTERVAL_MS = 1_000;

/** Urgency of a queue, from the most to the least urgent. */
const URGENCY_ORDER = ['urgent', 'normal', 'background'] as const;

/** Urgency of the work in a queue. */
export type Urgency = (typeof URGENCY_ORDER)[number];

/** Room of a shard in a data centre that is in service. */
export interface PlaceableRoom extends ShardRoom {
  readonly dataCentreId: DataCentreId;
}

/** What the placer knows of the cluster at one moment. */
export interface PlacementView {
  /** Shards that may take new tasks; empty while this process is stopping. */
  readonly rooms: readonly PlaceableRoom[];
  /** Schedulers that share the platform's write rate. */
  readonly writerCount: number;
  /**
   * @param queueId - a job's queue
   * @returns how urgent its work is
   */
  getUrgency(queueId: QueueId): Urgency;
  /**
   * @param shardId - a shard of targets
   * @returns its newest known epoch, or undefined
   */
  getEpoch(shardId: ShardId): Epoch | undefined;
  /**
   * @param shardId - a shard of targets
   * @param demand - of one task
   * @returns true when a target of the shard is large enough, were it empty
   */
  isLargeEnough(shardId: ShardId, demand: ResourceVector): boolean;
  /**
   * @param demand - of one task
   * @param taskCount - that must run at once
   * @returns false when the whole cluster, were it empty, has no room for them; true when not known
   */
  isPlaceable(demand: ResourceVector, taskCount: number): boolean;
}

/** A task that was placed just now. */
export interface PlacedTask {
  readonly job: KeptJob;
  readonly task: KeptTask;
  /** Leaves once the placement is durable; undefined for a gang's task. */
  readonly ask: TaskAsk | undefined;
}

/** What a round of placing came to. */
export interface PlacementPlan {
  readonly placed: readonly PlacedTask[];
  /** Asks about earlier placements. */
  readonly asks: readonly TaskAsk[];
  /** Jobs whose phase may have changed. */
  readonly changed: readonly KeptJob[];
}

/** Tells what the journal holds for certain. */
export interface DurabilitySource {
  /**
   * @param job - a job
   * @param task - a task of it
   * @returns true when the task's last change is durable
   */
  isTaskDurable(job: KeptJob, task: KeptTask): boolean;
  /**
   * @param job - a gang
   * @returns true when the decision to start it is durable
   */
  isGangDurable(job: KeptJob): boolean;
}

interface Room {
  readonly room: PlaceableRoom;
  freeSlots: number;
}

function getDeadlineMs(job: KeptJob): number {
  const { policy } = job.spec;
  return (policy.kind === 'batch' ? policy.deadlineMs : undefined) ?? Number.MAX_SAFE_INTEGER;
}

/** Orders jobs by urgency, then by the earliest deadline, then by their submission. */
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
  return { kind, taskId: task.taskId, jobId: job.spec.jobId, placement };
}

function isAskNeeded(
  job: KeptJob,
  task: KeptTask,
  placement: TaskPlacement,
  view: PlacementView,
): boolean {
  if (isEnded(job.phase) || task.state.kind === 'assigned') return true;
  if (job.gangStep === 'releasing') return true;
  // A new owner is asked whether it found the task; until then it counts as running.
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
  jobs.forEach((job) => {
    job.tasks.forEach((task) => {
      const placement = getPlacement(task);
      if (placement === undefined || nowMs < task.nextAskMs) return;
      if (asks.length >= MAX_ASKS_PER_TICK || !isAskNeeded(job, task, placement, view)) return;
      if (!durability.isTaskDurable(job, task)) return;
      const kind = tryGetAskKind(job, task, durability.isGangDurable(job));
      if (kind === undefined) return;
      task.nextAskMs = nowMs + ASK_INTERVAL_MS;
      asks.push(createAsk(kind, job, task, placement));
    });
  });
  return asks;
}

/** Returns true when the job became placeable or stopped being so. */
function updatePlaceable(job: KeptJob, view: PlacementView): boolean {
  const { policy, demand } = job.spec;
  const taskCount = policy.kind === 'gang' ? policy.taskCount : 1;
  const isPlaceable = view.isPlaceable(demand, taskCount);
  if (isPlaceable === (job.phase !== 'unplaceable')) return false;
  job.phase = isPlaceable ? 'accepted' : 'unplaceable';
  job.note = isPlaceable ? '' : 'jobUnplaceable: no target could ever run this job';
  return true;
}

/** Placements that no owner has answered yet are not in the rooms that owners report. */
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

/** Takes the roomiest shard; a service first spreads over data centres, then over shards. */
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
  // A gang's asks follow in the order of the shards.
  if (isGang) task.nextAskMs = nowMs;
  const start = createStart(job, task, placement);
  return { job, task, ask: isGang ? undefined : { kind: 'start', start } };
}

/** Takes a room for each task, as far as there are any. */
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
  // A gang is placed whole, also when it is larger than what is left of the tick.
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
 * Places what can be placed and asks what must be asked.
 * @param nowMs - this process's clock
 * @param jobs - jobs that have not come to rest
 * @param view - the cluster
 * @param durability - tells what is durable
 * @returns the plan; placed tasks are changed in place
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
