# A fleet like the operators': unequal machines, four classes, four shops. Calm; add faults to taste.

seed = 7

workers = [
    worker(6, "big-fast", cores = 4, speed = (1.1, 1.5), zone = "hall-a"),
    worker(5, "small", cores = 2, speed = (0.85, 1.1), zone = "hall-b"),
    worker(5, "big-slow", cores = 4, speed = (0.59, 0.8), zone = "hall-c"),
]

classes = {
    "basket-price": work(430, deadline_ms = 5000, aim_ms = 200, stretch = 2.5),
    "slot-check": work(215, deadline_ms = 5000, aim_ms = 200, stretch = 1.75),
    "route-plan": work(845, deadline_ms = 10000, aim_ms = 750, stretch = 2, worth = 3),
    "order-confirm": work(215, deadline_ms = 5000, aim_ms = 200, stretch = 2, worth = 8, priority = 1, repeatable = False),
}

# Jobs a second within each shop's share.
tenants = {
    "kvart-market": 33,
    "zeleni-kos": 25,
    "pekara-lipa": 8,
    "mesnica-brod": 7,
}

callbacks = call_backs(early = 0.02, twice = 0.02)
