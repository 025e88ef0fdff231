"""The platform's lagging list of live and departing instances.

It is met through the health interface that Consul publishes.
"""

import orjson
from returns import result

from hickoryreach import exceptions
from hickoryreach.structure import resources
from hickoryreach.structure import workers
from hickoryreach.trial import store


def get_workers(
    client: store.Store,
) -> result.Result[tuple[workers.Worker, ...], exceptions.StoreFailure]:
    """Reads the listed workers; the list lags and may be wrong."""
    answer = client.call("instances", "GET", "/v1/health/service/worker", None)
    return answer.bind(_parse_workers)


def _parse_workers(
    reply: store.Reply,
) -> result.Result[tuple[workers.Worker, ...], exceptions.StoreFailure]:
    if reply.status != store.OK:
        return result.Failure(
            exceptions.StoreFailure(reason=f"status {reply.status}")
        )
    try:
        rows = orjson.loads(reply.body)
        return result.Success(tuple(_parse_worker(row) for row in rows))
    except (ValueError, KeyError, TypeError) as error:
        return result.Failure(
            exceptions.StoreFailure(reason=f"malformed list: {error}")
        )


def _parse_worker(row: dict) -> workers.Worker:
    service = row["Service"]
    meta = service["Meta"]
    return workers.Worker(
        worker_id=service["ID"],
        failure_domain=meta["failure_domain"],
        rack=meta["rack"],
        capacity=resources.Resources(
            cpu_millis=int(meta["cpu_millis"]),
            memory_mb=int(meta["memory_mb"]),
            accelerators=int(meta.get("accelerators", 0)),
            slots=int(meta.get("slots", 0)),
        ),
        address=f"{service['Address']}:{service['Port']}",
        minion_address=meta.get("minion_address", ""),
        service=meta.get("service", ""),
        departing=meta.get("departing") == "true",
    )
