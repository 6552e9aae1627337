"""One-way keys: a key that the new build has answered goes to no earlier build."""

from __future__ import annotations

from helpers import MS, S, Scene


def test_a_key_answered_by_a_build_without_news_went_back_to_the_released_one():
    """Guards against the released build being taken for the newest one that can have answered a key."""
    scene = Scene(one_way=True, free=5.0, caps=(1.0, 1.0, 1.0))
    scene.released()
    scene.list("next", build=2)
    scene.take(scene.draw, key="k")
    scene.pass_to(50 * MS)
    scene.end(scene.out[0])
    scene.list("old0", "old1", "old2")
    for _ in range(10):
        scene.pass_to(scene.engine.now + S)
        scene.take(scene.draw, key="k")
        assert {dispatch.appliance.id for dispatch in scene.out} <= {"next"}
        for dispatch in list(scene.out):
            scene.end(dispatch)
