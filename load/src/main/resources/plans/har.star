# Takes the jobs of a HAR file by the headers that clients of a dispatcher send. Other requests are left out.

time_zone = "UTC"

def _deadline_ms(text):
    """X-Deadline is a number and a unit: m for milliseconds, u for microseconds."""
    number = text[:-1]
    if not number.replace(".", "", 1).isdigit():
        return None
    if text.endswith("m"):
        return float(number)
    if text.endswith("u"):
        return float(number) / 1000
    return None

def classify(entry):
    name = entry.header("X-Class")
    if not name:
        return drop("no X-Class header")
    if entry.method != "POST":
        return drop("not a POST")
    return job(
        name,
        tenant = entry.header("X-Tenant"),
        key = entry.header("X-Key"),
        deadline_ms = _deadline_ms(entry.header("X-Deadline")),
        body_bytes = max(0, entry.bytes_received),
    )
