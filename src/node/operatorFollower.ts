/** Tracks the operator state in the store, and takes newer states from other nodes. */

import * as E from 'fp-ts/Either';
import { OddRowLog } from '../observe/oddRowLog';
import { TableFollower } from '../store/tableFollower';
import type { FollowerEvent } from '../store/tableFollower';
import type { StoredRow } from '../store/types';
import type { ClusterConfig, OperatorState } from '../work/types';
import type { OperatorSnapshot } from './operatorSnapshot';
import type { NodePorts, OperatorRow } from './ports';

/** Pause between reads; changes must take effect within 2 s. */
const READ_PAUSE_MS = 50;

/** Follows the operator rows in the store. */
export class OperatorFollower {
  #ports: NodePorts;

  #follower: TableFollower;

  #onChanged: (snapshot: OperatorSnapshot) => void;

  #oddRows: OddRowLog;

  #rows = new Map<string, OperatorRow>();

  #config: ClusterConfig | undefined;

  #snapshot: OperatorSnapshot = {
    changeVersion: 0,
    operator: { config: undefined, closedDataCentreIds: [] },
  };

  /**
   * @param ports - store, decoder and logger
   * @param onChanged - called after each change
   */
  constructor(ports: NodePorts, onChanged: (snapshot: OperatorSnapshot) => void) {
    this.#ports = ports;
    this.#oddRows = new OddRowLog(ports.logger, ports.metrics);
    this.#onChanged = onChanged;
    const { table, part } = ports.operatorRows;
    this.#follower = new TableFollower(
      ports.store,
      { table, parts: [part], pauseMs: READ_PAUSE_MS },
      (event) => this.#onEvent(event),
    );
  }

  /** The newest operator state known to this node. */
  get snapshot(): OperatorSnapshot {
    return this.#snapshot;
  }

  /** Starts following. */
  start(): void {
    this.#follower.start();
  }

  /** Stops following. */
  stop(): void {
    this.#follower.stop();
  }

  /**
   * Adopts the operator state of another node if it is newer.
   * @param snapshot - the other node's state
   */
  adopt(snapshot: OperatorSnapshot): void {
    if (snapshot.changeVersion <= this.#snapshot.changeVersion) return;
    this.#config = this.#getNewer(snapshot.operator.config);
    this.#publish(snapshot.changeVersion, snapshot.operator.closedDataCentreIds, 'node');
  }

  #onEvent(event: FollowerEvent): void {
    if (event.kind === 'snapshot') {
      this.#rows.clear();
      event.rows.forEach((row) => this.#applyRow(row));
      this.#publishRows(event.version);
      return;
    }
    event.changes.forEach((change) => {
      if (change.kind === 'put') this.#applyRow(change.row);
      else this.#rows.delete(change.address.key);
    });
    this.#publishRows(event.version);
  }

  #applyRow(row: StoredRow): void {
    const decoded = this.#ports.operatorRows.decode(row);
    if (E.isLeft(decoded)) {
      this.#oddRows.add(
        'operator_rows_malformed',
        row.key,
        decoded.left,
        'cannot decode operator row; the one before it holds',
      );
      return;
    }
    this.#oddRows.clear(row.key);
    this.#rows.set(row.key, decoded.right);
    if (decoded.right.kind === 'config') this.#config = this.#getNewer(decoded.right.config);
  }

  /** Within a process, the configuration never reverts to an older version. */
  #getNewer(config: ClusterConfig | undefined): ClusterConfig | undefined {
    if (config === undefined) return this.#config;
    return this.#config !== undefined && config.version < this.#config.version
      ? this.#config
      : config;
  }

  #publishRows(changeVersion: number): void {
    // The feed may be behind what another node has reported; its rows must not take that back.
    if (changeVersion < this.#snapshot.changeVersion) {
      const { closedDataCentreIds } = this.#snapshot.operator;
      this.#publish(this.#snapshot.changeVersion, closedDataCentreIds, 'store');
      return;
    }
    const closed = [...this.#rows.values()].flatMap((row) =>
      row.kind === 'closedDataCentre' ? [row.dataCentreId] : [],
    );
    this.#publish(changeVersion, closed, 'store');
  }

  #publish(
    changeVersion: number,
    closedDataCentreIds: OperatorState['closedDataCentreIds'],
    source: 'store' | 'node',
  ): void {
    const formerVersion = this.#snapshot.operator.config?.version;
    this.#snapshot = { changeVersion, operator: { config: this.#config, closedDataCentreIds } };
    this.#ports.metrics.count('operator_changes');
    this.#ports.logger.info(
      {
        changeVersion,
        configVersion: this.#config?.version,
        formerVersion,
        closedDataCentreIds,
        source,
      },
      'operator state adopted',
    );
    this.#onChanged(this.#snapshot);
  }
}
