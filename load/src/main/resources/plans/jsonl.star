# Takes JSON lines whose objects name class, tenant, key, deadline_us and body_bytes, as `load convert` writes them.
# Lines without a class are left out.

def classify(entry):
    name = entry.extra("class")
    if not name:
        return drop("no class")
    deadline = entry.extra("deadline_us")
    size = entry.extra("body_bytes")
    return job(
        name,
        tenant = entry.extra("tenant"),
        key = entry.extra("key"),
        deadline_ms = int(deadline) / 1000 if deadline.isdigit() else None,
        body_bytes = int(size) if size.isdigit() else 0,
    )
