# Workers with accelerators beside usual ones, in two halls: for trying reservations and start windows (docs/sharing.md).

seed = 7

workers = [
    worker(3, "route-box", cores = 4, speed = 1, zone = "hall-a", accelerators = 4),
    worker(3, "usual", cores = 4, speed = (0.9, 1.1), zone = "hall-b"),
]

classes = {
    "basket-price": work(80, deadline_ms = 5000, aim_ms = 200, stretch = 2.5),
    "van-replan": work(400, deadline_ms = 20000, aim_ms = 2000, stretch = 2, worth = 3, accelerated = True),
    "order-confirm": work(40, deadline_ms = 5000, aim_ms = 200, stretch = 2, worth = 8, priority = 1, repeatable = False),
}

# Jobs a second within each shop's share.
tenants = {
    "shop-7": 30,
    "shop-8": 30,
}
