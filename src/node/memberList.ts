/** The nodes of the deployment, each of which registers itself in the store. */

import * as E from 'fp-ts/Either';
import * as z from 'zod';
import type { RowStore, StoredRow } from '../store/types';
import type { NodeId } from '../types/ids';
import { tryParseJson } from '../types/json';
import { MEMBER_PART, MEMBERS_TABLE } from './tables';
import { throwRejection } from '../types/debug';

/** A registered node. */
export interface Member {
  readonly nodeId: NodeId;
  /** `ip:port` on which it listens for other nodes. */
  readonly address: string;
  /** Processor capacity of its Vm, in thousandths of a core. */
  readonly processorMillis: number;
}

const memberSchema = z.object({ address: z.string(), processorMillis: z.number().nonnegative() });

function parseMember({ key, value }: StoredRow): Member[] {
  const parsed = memberSchema.safeParse(tryParseJson(value));
  return parsed.success ? [{ nodeId: key as NodeId, ...parsed.data }] : [];
}

/** Timeout of each store call. */
const TIMEOUT_MS = 1_000;

/** Interval between reads; long, as nodes rarely join or leave. */
const READ_INTERVAL_MS = 10_000;

/** Delay before a failed call is retried. */
const RETRY_DELAY_MS = 300;

const MAX_MEMBER_ROWS = 500;

/** Registers this node and polls the list of all nodes. */
export class MemberList {
  #store: RowStore;

  #self: Member;

  #onChanged: (members: readonly Member[]) => void;

  #members: readonly Member[] = [];

  #isRegistered = false;

  #isStopped = false;

  #timer: NodeJS.Timeout | undefined;

  /**
   * @param store - the store
   * @param self - this node
   * @param onChanged - called with every list that is read
   */
  constructor(store: RowStore, self: Member, onChanged: (members: readonly Member[]) => void) {
    this.#store = store;
    this.#self = self;
    this.#onChanged = onChanged;
  }

  /** All known nodes, including this one. */
  get members(): readonly Member[] {
    return this.#members;
  }

  /** Registers this node and starts polling. */
  start(): void {
    this.#schedule(0);
  }

  /** Stops polling. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  /** Schedules an early read, for when an unknown node has connected. */
  refresh(): void {
    if (this.#isRegistered) this.#schedule(RETRY_DELAY_MS);
  }

  #schedule(delayMs: number): void {
    if (this.#isStopped) return;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => {
      this.#refreshOnce().then((nextDelayMs) => this.#schedule(nextDelayMs), throwRejection);
    }, delayMs);
  }

  /** A node that starts again reads the list beside its registration, as it may have to know the others at once. */
  async #refreshOnce(): Promise<number> {
    const wasRegistered = this.#isRegistered;
    const reading = this.#read();
    if (!wasRegistered) this.#isRegistered = await this.#register();
    const isRead = await reading;
    return wasRegistered && isRead ? READ_INTERVAL_MS : RETRY_DELAY_MS;
  }

  async #read(): Promise<boolean> {
    const query = { table: MEMBERS_TABLE, part: MEMBER_PART, fromKey: '', limit: MAX_MEMBER_ROWS };
    const page = await this.#store.readRange(query, TIMEOUT_MS);
    if (E.isLeft(page)) return false;
    this.#members = page.right.rows.flatMap(parseMember);
    this.#onChanged(this.#members);
    return true;
  }

  async #register(): Promise<boolean> {
    const { nodeId, ...content } = this.#self;
    const value = JSON.stringify(content);
    const row = { table: MEMBERS_TABLE, part: MEMBER_PART, key: nodeId, value };
    const outcome = await this.#store.transact(
      { conditions: [], puts: [row], removals: [] },
      TIMEOUT_MS,
    );
    return E.isRight(outcome);
  }
}
