"""A job's next step waits on an idle machine that is due for upkeep later."""

import asyncio

from scene_3 import TROUBLE, Scene, run_case

IDLE_S, FINISH_S = 3.0, 14.0
JOB = f"{0xABC:016x}"
FIRST_S, SECOND_S = 15.0, 7.0
CAP, DURATION_S = 1, 27.0
CPU = 8000


async def play() -> bool:
    # The machines have their upkeep in the order of their names; `varsel` has m9.
    # Half of the fleet is in the wave, without those of `forlik`.
    pools = {"saksmappe": 9, "varsel": 1, "timebok": 1, "forlik": 10}
    async with Scene(pools, nodes=3) as scene:
        record, platform = scene.record, scene.platform
        await asyncio.sleep(5)
        worker = platform.workers[9]
        worker.choose_run_s = lambda o: SECOND_S if o.task.step else FIRST_S

        def get_percent(run: object) -> int:
            # The progress of this worker's tasks, whatever their time.
            now_s = asyncio.get_running_loop().time()
            passed_s = now_s - run.start_s  # type: ignore[attr-defined]
            whole_s = run.end_s - run.start_s  # type: ignore[attr-defined]
            return int(100 * passed_s / whole_s)

        worker.get_percent = get_percent  # type: ignore[method-assign]
        task = {"count": 1, "cpu": 500, "requestedMemoryMb": 100}
        steps = [
            {**task, "estimatedMs": int(1000 * FIRST_S)},
            {**task, "estimatedMs": int(1000 * SECOND_S), "after": [0]},
        ]
        if TROUBLE:
            wave = {
                "wave": 1,
                "machines": [
                    h.name for h in platform.hosts.values() if h.pool != "forlik"
                ],
                "durationS": DURATION_S,
                "cap": CAP,
            }
            await platform._publish("op", "wave/1", wave)
            record.write(f"op/wave/1 {wave}")
        path = f"/varsel/{JOB}"
        body = {"specification": "x", "steps": steps}
        status = await scene.call(scene.nodes[0], "POST", path, "varsel.example", body)
        record.write(f"POST {path} {steps} -> {status}; the traffic has ended")
        if status != 200:
            raise RuntimeError("the job was not accepted")
        sent_s = record.now_s()
        ready_s = begins_s = idle_s = 0.0
        host = next(h for h in platform.hosts.values() if h.pool == "varsel")
        state = ""
        while record.now_s() < sent_s + 45 and not (begins_s and idle_s):
            now_s = record.now_s()
            for each in platform.workers:
                each.end_due_runs()
            if host.state != state:
                state = host.state
                record.write(f"machine {host.name} of the job's service is {state}")
            ended = [t.step for t, *_ in worker.run_intervals if t.job == JOB]
            if not ready_s and 0 in ended:
                ready_s = now_s
                record.write("the first step is done")
            started = [t.step for w in platform.workers for t, _ in w.starts]
            if ready_s and not begins_s and 1 in started:
                begins_s = now_s
                record.write(f"the second step begins, {now_s - ready_s:.2f} s later")
            since_s = max(ready_s, sent_s + FINISH_S)
            is_idle = ready_s and not begins_s and state == "up"
            if is_idle and not idle_s and now_s > since_s + IDLE_S:
                idle_s = now_s - since_s
                record.write(
                    f"for {idle_s:.2f} s, {FINISH_S:.0f} s after the traffic or later,"
                    " nothing of the job has run though its second step's turn has"
                    f" come; its service's worker is up and runs nothing of its {CPU}"
                )
            if ready_s and begins_s:
                break
            await asyncio.sleep(0.02)
        if not ready_s:
            raise RuntimeError("the first step did not end")
        status, answer = await scene.call_for_body(
            scene.nodes[0], "GET", path, "varsel.example"
        )
        record.write(f"GET {path} -> {status} {answer.decode()}")
        return bool(idle_s)


run_case(play)
