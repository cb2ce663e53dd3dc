// Checks of the rules on a record, as RULES.md words them.

/**
 * TWICE: two runs of a task at the same time on workers that are up, or a start after a run has ended `done` whose end
 * is taken note of then or later, unless the lease lapsed between the two.
 */
export function checkTwice(entries) {
  const broken = [];
  const running = new Map();
  const done = new Map();
  const listed = new Map();
  entries.forEach((entry) => {
    const { kind, task, run, worker, atMs } = entry;
    if (kind === 'start') {
      const others = [...(running.get(task) ?? [])];
      if (others.length > 0)
        broken.push({ atMs, text: `${task} run ${run} starts on ${worker} beside ${others}` });
      running.set(task, new Set([...others, `${worker}#${run}`]));
      const ends = done.get(task) ?? [];
      done.set(task, ends);
      ends.forEach((end) => end.laterStarts.push({ atMs, run, worker }));
    } else if (kind === 'end') {
      running.get(task)?.delete(`${worker}#${run}`);
      if (entry.how !== 'done') return;
      const end = { task, run, worker, atMs, laterStarts: [], isSeen: false };
      done.set(task, [...(done.get(task) ?? []), end]);
      listed.set(`${worker}/${entry.number}`, end);
    } else if (kind === 'end-seen') {
      const end = listed.get(`${worker}/${entry.number}`);
      if (end !== undefined) end.isSeen = true;
    } else if (kind === 'lease-lapsed') {
      listed.forEach((end, key) => {
        if (end.worker === worker && !end.isSeen) listed.delete(key);
      });
    } else if (kind === 'worker-crash') {
      running.forEach((runs) =>
        runs.forEach((text) => text.startsWith(`${worker}#`) && runs.delete(text)),
      );
      listed.forEach((end, key) => {
        if (end.worker === worker && !end.isSeen) listed.delete(key);
      });
    }
  });
  done.forEach((ends) =>
    ends
      .filter(({ isSeen }) => isSeen)
      .forEach(({ task, run, worker, atMs, laterStarts }) =>
        laterStarts.forEach((start) =>
          broken.push({
            atMs: start.atMs,
            text: `${task} ended done at ${atMs} (run ${run} on ${worker}, taken note of) and starts again at ${start.atMs} (run ${start.run} on ${start.worker})`,
          }),
        ),
      ),
  );
  return broken.sort((left, right) => left.atMs - right.atMs).map(({ text }) => text);
}

/**
 * QUOTA: a start brings what a tenant has running above `max-count` x (1 + `quota-over`) and one task more. What is
 * being stopped runs until its end.
 * @param getDemand - the cpu of a task, when it belongs to the tenant
 */
export function checkQuota(entries, maxCpu, quotaOver, getDemand) {
  const broken = [];
  const running = new Map();
  entries.forEach(({ kind, task, run, worker, atMs }) => {
    const key = `${worker}/${task}#${run}`;
    if (kind === 'end') running.delete(key);
    if (kind === 'worker-crash')
      [...running.keys()]
        .filter((name) => name.startsWith(`${worker}/`))
        .forEach((name) => running.delete(name));
    if (kind !== 'start') return;
    const demand = getDemand(task);
    if (demand === undefined) return;
    running.set(key, demand);
    const sum = [...running.values()].reduce((total, cpu) => total + cpu, 0);
    const bound = maxCpu * (1 + quotaOver) + demand;
    if (sum > bound)
      broken.push(
        `at ${atMs} the start of ${task} run ${run} on ${worker} brings the tenant to ${sum}, bound ${bound}`,
      );
  });
  return broken;
}
