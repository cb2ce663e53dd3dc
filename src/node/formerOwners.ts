/**
 * Learns when no former owner may act any more, and a version of the store such that rows of later versions are not
 * known to any of them. After a claim without votes the version is known long before they have ended, as an owner
 * starts nothing that it has learnt of without the store; see voterSet.ts.
 */

import * as E from 'fp-ts/Either';
import { OWNER_AUTHORITY_MS } from '../owner/constants';
import type { RowStore } from '../store/types';
import { throwRejection } from '../types/debug';
import { OWNER_PART, OWNERSHIP_TABLE } from './tables';

/** Added to the authority of a former owner to allow for timer delays and clocks of different speed. */
const FORMER_OWNER_MARGIN_MS = 200;

/** Timeout of the read that gets the store's version, and the delay before it is repeated. */
const VERSION_TIMEOUT_MS = 1_000;
const VERSION_RETRY_DELAY_MS = 200;

/** What an ownership does when former owners have ended. */
export interface FormerOwnersCallbacks {
  /** The former owner has confirmed that neither it nor one before it acts any more. */
  onConfirmed(): void;
  /** Called once, with a version from a time after which former owners start no submission that is new to them. */
  onVersionKnown(storeVersion: number): void;
}

/** Waits for the end of the former owners of one ownership. */
export class FormerOwners {
  #store: Pick<RowStore, 'readRange'>;

  #callbacks: FormerOwnersCallbacks;

  #isStopped = false;

  #isVersionKnown = false;

  #isAuthorityOver = false;

  #areEnded = false;

  /** That version of the store, until all submissions up to it have been read. */
  #awaitedVersion: number | undefined;

  /**
   * @param store - the store
   * @param callbacks - the ownership
   */
  constructor(store: Pick<RowStore, 'readRange'>, callbacks: FormerOwnersCallbacks) {
    this.#store = store;
    this.#callbacks = callbacks;
  }

  /** Whether none of them may act any more. */
  get areEnded(): boolean {
    return this.#areEnded || (this.#isVersionKnown && this.#isAuthorityOver);
  }

  /**
   * Begins to wait for the end of their authority.
   * @param remainingMs - how long they may still act on targets that have not answered this owner
   */
  start(remainingMs = OWNER_AUTHORITY_MS): void {
    this.#scheduleRead(OWNER_AUTHORITY_MS + FORMER_OWNER_MARGIN_MS);
    setTimeout(() => {
      this.#isAuthorityOver = true;
    }, remainingMs).unref();
  }

  /** Ends the wait. */
  stop(): void {
    this.#isStopped = true;
  }

  /**
   * Handles the confirmation of the former owner that neither it nor one before it acts any more.
   * @param whenLoaded - calls back once the stored state is loaded
   */
  confirm(whenLoaded: (apply: () => void) => void): void {
    if (this.areEnded) return;
    this.#areEnded = true;
    whenLoaded(() => {
      this.#callbacks.onConfirmed();
      this.#scheduleRead(0);
    });
  }

  /**
   * Checks whether all submissions that a former owner may have known have been read; true is returned once.
   * @param readVersion - version up to which submissions have been read; undefined while some have not been read at all
   * @returns false until then, and after that
   */
  takeSubmissionsRead(readVersion: number | undefined): boolean {
    if (this.#awaitedVersion === undefined || readVersion === undefined) return false;
    if (readVersion < this.#awaitedVersion) return false;
    this.#awaitedVersion = undefined;
    return true;
  }

  #scheduleRead(delayMs: number): void {
    setTimeout(() => {
      if (this.#isStopped || this.#isVersionKnown) return;
      const query = { table: OWNERSHIP_TABLE, part: OWNER_PART, fromKey: '', limit: 1 };
      this.#store.readRange(query, VERSION_TIMEOUT_MS).then((page) => {
        if (E.isLeft(page)) this.#scheduleRead(VERSION_RETRY_DELAY_MS);
        else this.#onVersionRead(page.right.storeVersion);
      }, throwRejection);
    }, delayMs).unref();
  }

  #onVersionRead(storeVersion: number): void {
    if (this.#isVersionKnown || this.#isStopped) return;
    this.#isVersionKnown = true;
    this.#awaitedVersion = storeVersion;
    this.#callbacks.onVersionKnown(storeVersion);
  }
}
