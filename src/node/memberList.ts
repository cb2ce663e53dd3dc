/** The nodes of the deployment, as they registered themselves in the store. */

import * as E from 'fp-ts/Either';
import * as z from 'zod';
import type { RowStore, StoredRow } from '../store/types';
import type { NodeId } from '../types/ids';
import { tryParseJson } from '../types/json';
import { MEMBER_PART, MEMBERS_TABLE } from './tables';
import { throwRejection } from '../types/debug';

/** One node. */
export interface Member {
  readonly nodeId: NodeId;
  /** `ip:port` for calls of other nodes. */
  readonly address: string;
  /** Processor of its Vm, in thousandths of a core. */
  readonly processorMillis: number;
}

const memberSchema = z.object({ address: z.string(), processorMillis: z.number().nonnegative() });

function toMember({ key, value }: StoredRow): Member[] {
  const parsed = memberSchema.safeParse(tryParseJson(value));
  return parsed.success ? [{ nodeId: key as NodeId, ...parsed.data }] : [];
}

/** Time limit of each call. */
const TIMEOUT_MS = 1_000;

/** Pause between reads; nodes come and go rarely. */
const READ_PERIOD_MS = 10_000;

/** Pause after a failed call. */
const RETRY_MS = 300;

const PAGE_ROWS = 500;

/** Registers this node and follows the others. */
export class MemberList {
  #store: RowStore;

  #self: Member;

  #onChanged: (members: readonly Member[]) => void;

  #members: readonly Member[] = [];

  #isRegistered = false;

  #isStopped = false;

  #timer: NodeJS.Timeout | undefined;

  /**
   * @param store - where nodes register
   * @param self - this node
   * @param onChanged - told of every list that is read
   */
  constructor(store: RowStore, self: Member, onChanged: (members: readonly Member[]) => void) {
    this.#store = store;
    this.#self = self;
    this.#onChanged = onChanged;
  }

  /** All nodes known, this one included. */
  get members(): readonly Member[] {
    return this.#members;
  }

  /** Registers and starts to read. */
  start(): void {
    this.#schedule(0);
  }

  /** Ends it. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  /** Reads the list again soon, as an unknown node has shown up. */
  refresh(): void {
    if (this.#isRegistered) this.#schedule(RETRY_MS);
  }

  #schedule(delayMs: number): void {
    if (this.#isStopped) return;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => {
      this.#step().then((nextDelayMs) => this.#schedule(nextDelayMs), throwRejection);
    }, delayMs);
  }

  async #step(): Promise<number> {
    if (!this.#isRegistered) this.#isRegistered = await this.#register();
    if (!this.#isRegistered) return RETRY_MS;
    const query = { table: MEMBERS_TABLE, part: MEMBER_PART, fromKey: '', limit: PAGE_ROWS };
    const page = await this.#store.readRange(query, TIMEOUT_MS);
    if (E.isLeft(page)) return RETRY_MS;
    this.#members = page.right.rows.flatMap(toMember);
    this.#onChanged(this.#members);
    return READ_PERIOD_MS;
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
