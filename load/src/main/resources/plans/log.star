# Takes the jobs of an access log by their paths: /api/SHOP/OPERATION?key=KEY&deadline=MS. Other requests are left out.

CLASSES = {
    "price": "basket-price",
    "slots": "slot-check",
    "route": "route-plan",
    "confirm": "order-confirm",
}

DEADLINES_MS = {
    "basket-price": 5000,
    "slot-check": 5000,
    "route-plan": 10000,
    "order-confirm": 5000,
}

def classify(entry):
    path = entry.path
    if not path.startswith("/api/"):
        return drop("not under /api/")
    parts = path.split("/")
    if len(parts) != 4 or parts[3] not in CLASSES:
        return drop("no such operation")
    name = CLASSES[parts[3]]
    given = entry.param("deadline")
    return job(
        name,
        tenant = parts[2],
        key = entry.param("key"),
        deadline_ms = int(given) if given.isdigit() else DEADLINES_MS[name],
        body_bytes = max(0, entry.bytes_received),
    )
