"""A part that crashes replicas stands behind 36 others, in prompts of 38 parts."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
import fleet  # noqa: E402
import prompts  # noqa: E402

SHARED = [f"{0x10000000 + number:08x}" for number in range(36)]


async def case(record, folder, instances, trouble):
    return await prompts.play(record, folder, instances, trouble, sound_rate=10.0, bad_rate=1.0,
                              traffic_s=30, shared=SHARED)


fleet.main(case, __file__)
