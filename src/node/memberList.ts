/** The nodes of the deployment, each of which registers itself in the store. */

import * as E from 'fp-ts/Either';
import * as z from 'zod';
import type { RowAddress, RowPage, RowStore, StoredRow } from '../store/types';
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

const memberSchema = z.object({
  address: z.string(),
  processorMillis: z.number().nonnegative(),
  /** Reading of the store's clock before the node wrote the row; not written at first, nor by earlier builds. */
  renewedMs: z.number().optional(),
});

/** Timeout of each store call. */
const TIMEOUT_MS = 1_000;

/** Interval between reads; long, as nodes rarely join or leave. */
const READ_INTERVAL_MS = 10_000;

/** Delay before a failed call is retried. */
const RETRY_DELAY_MS = 300;

/** Interval at which a node renews its row. */
const RENEW_INTERVAL_MS = 30_000;

/** A node whose row has not been renewed for this long is not listed: three renewals are missing. */
const LAPSE_MS = 100_000;

/**
 * Without renewals while the rows were not read, a row is kept for this long after they are read again: the store may
 * have been away for the other nodes, too.
 */
const GRACE_MS = 45_000;

/** A longer time between two reads is a gap. */
const READ_GAP_MS = 2 * READ_INTERVAL_MS;

const PAGE_ROWS = 500;

/** A list without an end is not read any further. */
const MAX_PAGES = 20;

/** Rows that are removed in one transaction. */
const MAX_REMOVALS = 50;

/** What the list needs of its node. */
export interface MemberListPorts {
  readonly store: RowStore;
  readonly self: Member;
  /** Called with every list that is read. */
  onChanged(members: readonly Member[]): void;
  /** Whether this node is the owner and hears the given one, which is then alive, also if its build renews no row. */
  isHeard(nodeId: NodeId): boolean;
  /** Whether this node removes the rows of departed nodes; true on the owner. */
  isRemover(): boolean;
  /** Called when rows of departed nodes are removed. */
  onRemoved?(nodeIds: readonly string[]): void;
}

interface MemberRow {
  readonly row: StoredRow;
  readonly member: Member;
  /** Reading of the store's clock when the node was certainly alive. */
  readonly renewedMs: number;
}

function toAddress(key: string): RowAddress {
  return { table: MEMBERS_TABLE, part: MEMBER_PART, key };
}

/** Of several rows with one address only the last one can be right, as a node listens on it alone. */
function keepLastOfAddress(rows: readonly MemberRow[]): readonly Member[] {
  const lastByAddress = new Map<string, MemberRow>();
  rows.forEach((row) => {
    const known = lastByAddress.get(row.member.address);
    if (known === undefined || known.row.version < row.row.version)
      lastByAddress.set(row.member.address, row);
  });
  return rows.flatMap((row) => (lastByAddress.get(row.member.address) === row ? [row.member] : []));
}

/** Registers this node, renews its row and polls the list of all nodes. */
export class MemberList {
  #ports: MemberListPorts;

  #members: readonly Member[] = [];

  /** When each version of a row was first seen, by the store's clock, for rows that do not tell when they are from. */
  #firstSeen = new Map<string, { readonly version: number; readonly storeMs: number }>();

  #ownVersion: number | undefined;

  #isRegistered = false;

  #isStopped = false;

  #isLeaving = false;

  #storeMs: number | undefined;

  /** Reading of the store's clock when reads began, or began again after a gap. */
  #readSinceMs = 0;

  #renewedMs = -Infinity;

  /** Rows of nodes that have lapsed. */
  #departed: readonly StoredRow[] = [];

  #timer: NodeJS.Timeout | undefined;

  /**
   * @param ports - store, this node and callbacks
   */
  constructor(ports: MemberListPorts) {
    this.#ports = ports;
  }

  /** All nodes that are not known to have departed, including this one. */
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

  /** Removes this node's row, as it is being stopped. A row that is not removed lapses. */
  leave(): void {
    const version = this.#ownVersion;
    this.#isLeaving = true;
    if (version === undefined) return;
    const address = toAddress(this.#ports.self.nodeId);
    const transaction = {
      conditions: [{ ...address, version }],
      puts: [],
      removals: [address],
    };
    this.#ports.store.transact(transaction, TIMEOUT_MS).catch(throwRejection);
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
    if (!wasRegistered && !this.#isLeaving) this.#isRegistered = await this.#register();
    const isRead = await reading;
    if (wasRegistered && isRead) {
      await this.#renew();
      await this.#removeDeparted();
    }
    return wasRegistered && isRead ? READ_INTERVAL_MS : RETRY_DELAY_MS;
  }

  async #read(): Promise<boolean> {
    const pages = await this.#readPages('', MAX_PAGES);
    if (pages === undefined) return false;
    const rows = pages.flatMap((page) => page.rows);
    this.#onRead(rows, pages[0]?.storeMs ?? 0);
    return true;
  }

  async #readPages(fromKey: string, maxPages: number): Promise<readonly RowPage[] | undefined> {
    const query = { table: MEMBERS_TABLE, part: MEMBER_PART, fromKey, limit: PAGE_ROWS };
    const page = await this.#ports.store.readRange(query, TIMEOUT_MS);
    if (E.isLeft(page)) return undefined;
    const last = page.right.rows[page.right.rows.length - 1];
    if (!page.right.hasMore || last === undefined || maxPages <= 1) return [page.right];
    const others = await this.#readPages(`${last.key}\0`, maxPages - 1);
    return others === undefined ? undefined : [page.right, ...others];
  }

  #onRead(stored: readonly StoredRow[], storeMs: number): void {
    const isGap = this.#storeMs === undefined || storeMs >= this.#storeMs + READ_GAP_MS;
    if (isGap) this.#readSinceMs = storeMs;
    this.#storeMs = storeMs;
    const rows = this.#decode(stored, storeMs);
    const { nodeId } = this.#ports.self;
    this.#ownVersion = stored.find(({ key }) => key === nodeId)?.version;
    const isInGrace = storeMs < this.#readSinceMs + GRACE_MS;
    const isLapsed = (row: MemberRow) =>
      !isInGrace &&
      row.member.nodeId !== nodeId &&
      !this.#ports.isHeard(row.member.nodeId) &&
      storeMs >= row.renewedMs + LAPSE_MS;
    this.#departed = rows.filter(isLapsed).map(({ row }) => row);
    this.#members = keepLastOfAddress(rows.filter((row) => !isLapsed(row)));
    this.#ports.onChanged(this.#members);
  }

  #decode(stored: readonly StoredRow[], storeMs: number): readonly MemberRow[] {
    const knownKeys = new Set(stored.map(({ key }) => key));
    [...this.#firstSeen.keys()]
      .filter((key) => !knownKeys.has(key))
      .forEach((key) => this.#firstSeen.delete(key));
    return stored.flatMap((row) => {
      const parsed = memberSchema.safeParse(tryParseJson(row.value));
      if (!parsed.success) return [];
      const { address, processorMillis, renewedMs } = parsed.data;
      const member = { nodeId: row.key as NodeId, address, processorMillis };
      if (renewedMs !== undefined)
        return [{ row, member, renewedMs: Math.min(renewedMs, storeMs) }];
      const known = this.#firstSeen.get(row.key);
      const seen = known?.version === row.version ? known : { version: row.version, storeMs };
      this.#firstSeen.set(row.key, seen);
      return [{ row, member, renewedMs: seen.storeMs }];
    });
  }

  async #register(): Promise<boolean> {
    const { nodeId, ...content } = this.#ports.self;
    const storeMs = this.#storeMs;
    const value = JSON.stringify({ ...content, renewedMs: storeMs });
    const transaction = {
      conditions: [],
      puts: [{ ...toAddress(nodeId), value }],
      removals: [],
    };
    const outcome = await this.#ports.store.transact(transaction, TIMEOUT_MS);
    if (E.isLeft(outcome)) return false;
    this.#ownVersion = outcome.right.version;
    this.#renewedMs = storeMs ?? -Infinity;
    return true;
  }

  /** A row that another node has removed by mistake is written again, too. */
  async #renew(): Promise<void> {
    if (this.#isLeaving || this.#storeMs === undefined) return;
    const isDue = this.#storeMs >= this.#renewedMs + RENEW_INTERVAL_MS;
    if (isDue || this.#ownVersion === undefined) await this.#register();
  }

  async #removeDeparted(): Promise<void> {
    const departed = this.#departed.slice(0, MAX_REMOVALS);
    if (departed.length === 0 || !this.#ports.isRemover()) return;
    const transaction = {
      // A node that is alive after all renews its row, which then stays.
      conditions: departed.map(({ key, version }) => ({ ...toAddress(key), version })),
      puts: [],
      removals: departed.map(({ key }) => toAddress(key)),
    };
    const outcome = await this.#ports.store.transact(transaction, TIMEOUT_MS);
    if (E.isRight(outcome)) this.#ports.onRemoved?.(departed.map(({ key }) => key));
  }
}
